package org.vaneworks.coordination.fleet;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;

/**
 * Control calls to engines, apart from the requests that they run.
 *
 * <p>An implementation sends each call at most once. A failed future means that no answer arrived:
 * an order may still have been accepted, or may be carried out later.
 */
public interface EngineControl {
  /** The answer of an engine to an order. */
  enum OrderOutcome {
    /** The engine began to carry out the order, or is already in the ordered state. */
    ACCEPTED,
    /** The order conflicts with the engine's state, or another order arrived first. */
    CONFLICT,
    /** The engine has seen a higher fencing token. */
    FENCED,
    /** Another process listens on the address. */
    OTHER_ENDPOINT,
    /** The engine refused for any other reason. */
    REFUSED
  }

  /**
   * The preconditions of an order to hold a range of layers.
   *
   * @param fence the fencing token, which increases with each controller
   * @param expectedOrders the number of orders that the engine must have started before
   */
  record OrderGuard(long fence, long expectedOrders) {}

  /** Requests an engine's report, which also shows that the engine is alive. */
  CompletableFuture<EngineReport> report(FleetEndpoint engine, Duration limit);

  /** Orders an engine to hold exactly these layers. */
  CompletableFuture<OrderOutcome> assignLayers(
      FleetEndpoint engine, LayerRange layers, OrderGuard guard);

  /**
   * Orders the first engine of a request's path to switch to another path.
   *
   * @param requestId the caller's ID of the request
   * @param path the new path in wire format, with the same first hop
   */
  CompletableFuture<RepathOutcome> repath(FleetEndpoint first, String requestId, String path);

  /**
   * Registers a listener for the signals on an engine's answer, called before the answer is
   * processed.
   */
  default void onSignal(BiConsumer<FleetEndpoint, EndpointSignal> listener) {}

  /** Closes the connections to an address whose process is down. */
  default void closeConnections(HostPort address) {}
}
