package org.vaneworks.coordination.forwarding;

import io.servicetalk.concurrent.Executor;
import java.util.Random;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.HealthChecker;
import org.vaneworks.coordination.fleet.ReachabilityMonitor;
import org.vaneworks.coordination.quarantine.CrashDetector;
import org.vaneworks.coordination.quarantine.Quarantine;
import org.vaneworks.coordination.relay.PathPlanner;
import org.vaneworks.telemetry.Counters;

/**
 * Dependencies shared by all requests of a node.
 *
 * @param clock the node's event loop and clock
 * @param random source of randomness, seeded by tests
 * @param fleet all endpoints
 * @param planner chooses paths
 * @param health probes engines
 * @param reachability determines whether this node is cut off from all endpoints
 * @param peers forward requests while this node is isolated
 * @param control changes the paths of running requests
 * @param transport sends attempts to endpoints
 * @param queues requests that wait for capacity
 * @param budgets limit repeated sends
 * @param quarantine contents of requests that are not sent
 * @param crashDetector attributes the crash of an endpoint to the requests that it had just begun
 * @param dataCentre this node's data centre
 * @param counters counts refusals and retries
 */
record ForwardContext(
    Executor clock,
    Random random,
    Fleet fleet,
    PathPlanner planner,
    HealthChecker health,
    ReachabilityMonitor reachability,
    PeerNodes peers,
    EngineControl control,
    EndpointTransport transport,
    CapacityQueues queues,
    ResendBudgets budgets,
    Quarantine quarantine,
    CrashDetector crashDetector,
    String dataCentre,
    Counters counters) {
  /** Returns the same dependencies with another clock. */
  ForwardContext withClock(Executor newClock) {
    return new ForwardContext(
        newClock,
        random,
        fleet,
        planner,
        health,
        reachability,
        peers,
        control,
        transport,
        queues,
        budgets,
        quarantine,
        crashDetector,
        dataCentre,
        counters);
  }
}
