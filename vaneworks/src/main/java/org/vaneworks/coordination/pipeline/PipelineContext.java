package org.vaneworks.coordination.pipeline;

import io.servicetalk.concurrent.Executor;
import org.vaneworks.coordination.admission.AdmissionControl;
import org.vaneworks.coordination.endpoints.EndpointClient;
import org.vaneworks.coordination.endpoints.EndpointTable;
import org.vaneworks.coordination.routing.RoutePlanner;
import org.vaneworks.telemetry.Counters;

/**
 * What every stream of a node works with.
 *
 * @param executor worker pool, timers and clock
 * @param client calls to engines
 * @param table the engines
 * @param planner finds routes
 * @param admission decides when a stream starts
 * @param retries the node's budget of retries after refusals for overload
 * @param limits bounds on one stream
 * @param counters the node's counters
 */
public record PipelineContext(
    Executor executor,
    EndpointClient client,
    EndpointTable table,
    RoutePlanner planner,
    AdmissionControl admission,
    RetryBudget retries,
    PipelineLimits limits,
    Counters counters) {}
