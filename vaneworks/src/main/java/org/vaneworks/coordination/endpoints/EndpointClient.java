package org.vaneworks.coordination.endpoints;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.HostPort;

/**
 * Sends calls to endpoints.
 *
 * <p>Every failed future carries a {@link org.vaneworks.state.RefusalException} whose verdict
 * states whether the call may have run. An implementation sends each call at most once.
 */
public interface EndpointClient {
  /** Requests an endpoint's status. */
  CompletableFuture<EndpointStatus> status(HostPort address);

  /**
   * Runs one step of a session.
   *
   * @param timeout after which the call fails and its connection is closed
   */
  CompletableFuture<StepReply> step(Endpoint endpoint, StepCall call, Duration timeout);

  /** Ends a session, frees its resources and cancels a step that runs in it. */
  CompletableFuture<Void> end(Endpoint endpoint, SessionId session);

  /** Copies a session's state out of an engine; the session itself is unchanged. */
  CompletableFuture<SessionExport> exportSession(Endpoint endpoint, SessionId session);

  /** Restores an exported session in an engine under another epoch. */
  CompletableFuture<Void> importSession(Endpoint endpoint, SessionId target, SessionExport export);

  /**
   * Closes the connections to an address that is no longer listed, once its calls have ended.
   *
   * <p>The default implementation does nothing.
   */
  default void closeConnections(HostPort address) {}

  /**
   * Calls a plain service.
   *
   * @param timeout after which the call fails and its connection is closed
   */
  CompletableFuture<ServiceReply> invoke(Endpoint endpoint, ServiceCall call, Duration timeout);
}
