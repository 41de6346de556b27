package org.vaneworks.coordination.pipeline;

import io.servicetalk.concurrent.Executor;
import org.vaneworks.coordination.admission.AdmissionControl;
import org.vaneworks.coordination.endpoints.EndpointClient;
import org.vaneworks.coordination.endpoints.EndpointTable;
import org.vaneworks.coordination.routing.RoutePlanner;
import org.vaneworks.telemetry.Counters;

/**
 * The components of a node that all its streams share.
 *
 * @param executor worker pool, timers and clock
 * @param client sends calls to engines
 * @param table the known engines
 * @param planner plans routes
 * @param admission decides when a stream may start
 * @param retries the node's retry budget, spent on retries after an engine reported overload
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
