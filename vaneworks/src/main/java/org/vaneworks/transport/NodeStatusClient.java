package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.state.HostPort;

/** Asks nodes for what they tell operators of themselves. Thread-safe. */
public final class NodeStatusClient {
  private static final Duration CALL_LIMIT = Duration.ofSeconds(2);

  private final HttpSender sender;

  private NodeStatusClient(HttpSender sender) {
    this.sender = checkNotNull(sender);
  }

  /** Returns a client. */
  public static NodeStatusClient create(HttpSender sender) {
    return new NodeStatusClient(sender);
  }

  /**
   * Asks a node.
   *
   * @param callers the node's address for callers
   * @return the document of {@code /status}; fails if the node does not answer
   */
  public CompletableFuture<String> status(HostPort callers) {
    return sender.get(callers, "/status", CALL_LIMIT).thenApply(HttpSender.Response::body);
  }
}
