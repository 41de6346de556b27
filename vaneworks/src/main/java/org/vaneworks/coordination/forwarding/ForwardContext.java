package org.vaneworks.coordination.forwarding;

import io.servicetalk.concurrent.Executor;
import java.util.Random;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.HealthWatch;
import org.vaneworks.coordination.quarantine.CrashDetector;
import org.vaneworks.coordination.quarantine.Quarantine;
import org.vaneworks.coordination.relay.PathPlanner;
import org.vaneworks.telemetry.Counters;

/**
 * What all requests of a node share.
 *
 * @param clock the node's event loop and clock
 * @param random chance that tests seed
 * @param fleet all endpoints
 * @param planner chooses paths
 * @param health asks engines for signs of life
 * @param control changes the path of a running request
 * @param calls sends to endpoints
 * @param lines requests that wait for room
 * @param budget bounds what is sent again
 * @param quarantine requests that are held back
 * @param endedEndpoints is told of requests that lost their endpoint
 * @param dataCentre this node's
 * @param counters counts refusals and retries
 */
record ForwardContext(
    Executor clock,
    Random random,
    Fleet fleet,
    PathPlanner planner,
    HealthWatch health,
    EngineControl control,
    EndpointCalls calls,
    WaitingLines lines,
    ResendBudget budget,
    Quarantine quarantine,
    CrashDetector endedEndpoints,
    String dataCentre,
    Counters counters) {}
