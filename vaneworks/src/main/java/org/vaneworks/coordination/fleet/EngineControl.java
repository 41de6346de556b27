package org.vaneworks.coordination.fleet;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;

/**
 * Calls to engines beside the requests that they run.
 *
 * <p>An implementation sends each call at most once. A failed future means that no answer came: an
 * order may have been taken, or may be carried out later.
 */
public interface EngineControl {
  /** How an engine answered an order. */
  enum OrderOutcome {
    /** It began, or what was ordered holds already. */
    ACCEPTED,
    /** It does not fit the engine's state, or another order came first. */
    CONFLICT,
    /** A higher fence was used before. */
    FENCED,
    /** Another process has the address. */
    OTHER_ENDPOINT,
    /** The engine refused for another reason. */
    REFUSED
  }

  /**
   * What an order to hold a range is bound to.
   *
   * @param fence rises with each controller
   * @param expectedOrders the number of orders that the engine must have taken before
   */
  record OrderGuard(long fence, long expectedOrders) {}

  /** Asks an engine for its state; also shows that it is alive. */
  CompletableFuture<EngineReport> report(FleetEndpoint engine, Duration limit);

  /** Orders an engine to hold exactly these layers. */
  CompletableFuture<OrderOutcome> hold(FleetEndpoint engine, LayerRange layers, OrderGuard guard);

  /**
   * Orders the first engine of a request's path to go on over another path.
   *
   * @param requestId the caller's name of the request
   * @param path the new path in the wire's form, with the same first part
   */
  CompletableFuture<RepathOutcome> repath(FleetEndpoint first, String requestId, String path);

  /** Calls back with what an engine says of itself on an answer, before the answer is taken. */
  default void onStatement(BiConsumer<FleetEndpoint, EndpointSignal> listener) {}

  /** Closes what connects to an address whose process is gone. */
  default void forget(HostPort address) {}
}
