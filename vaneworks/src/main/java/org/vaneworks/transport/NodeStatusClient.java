package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.state.HostPort;

/** Reads the status documents of nodes. Thread-safe. */
public final class NodeStatusClient {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private final HttpSender sender;

  private NodeStatusClient(HttpSender sender) {
    this.sender = checkNotNull(sender);
  }

  /** Returns a client. */
  public static NodeStatusClient create(HttpSender sender) {
    return new NodeStatusClient(sender);
  }

  /**
   * Requests the status of a node.
   *
   * @param callers the node's address for callers
   * @return the document at {@code /status}; the future fails if the node does not respond
   */
  public CompletableFuture<String> status(HostPort callers) {
    return sender.get(callers, "/status", CALL_TIMEOUT).thenApply(HttpSender.Response::body);
  }
}
