package org.vaneworks.coordination.endpoints;

import java.util.concurrent.CompletableFuture;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.HostPort;

/**
 * Calls to endpoints.
 *
 * <p>Every failed future carries a {@link org.vaneworks.state.RefusalException} whose verdict says
 * whether the call may have run. An implementation sends each call at most once.
 */
public interface EndpointClient {
  /** Asks an endpoint to describe itself. */
  CompletableFuture<EndpointStatus> status(HostPort address);

  /** Runs one step of a session. */
  CompletableFuture<StepReply> step(Endpoint endpoint, StepCall call);

  /** Ends a session and frees what it holds; cancels a step that runs in it. */
  CompletableFuture<Void> end(Endpoint endpoint, SessionId session);

  /** Copies a session's state out of an engine; the session stays as it is. */
  CompletableFuture<SessionExport> exportSession(Endpoint endpoint, SessionId session);

  /** Puts a session's state into an engine under another epoch. */
  CompletableFuture<Void> importSession(Endpoint endpoint, SessionId as, SessionExport export);

  /**
   * Lets go of what is kept for an address that is no longer listed; calls on their way go on.
   *
   * <p>Does nothing unless an implementation keeps something.
   */
  default void forget(HostPort address) {}

  /** Calls a plain service. */
  CompletableFuture<ServiceReply> invoke(Endpoint endpoint, ServiceCall call);
}
