package org.vaneworks.daemon.entry;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.forwarding.CallerRequest;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.RequestContent;

/** A caller's request. Callers that repeat a request give it a new id. */
record SimulatedRequest(
    String id,
    String path,
    String body,
    Duration timeout,
    RequestSize expectedSize,
    Optional<String> resumeAfter,
    ImmutableList<String> sharedPromptParts)
    implements CallerRequest {
  SimulatedRequest(
      String id, String path, String body, Duration timeout, RequestSize expectedSize) {
    this(id, path, body, timeout, expectedSize, Optional.empty(), ImmutableList.of());
  }

  SimulatedRequest(
      String id,
      String path,
      String body,
      Duration timeout,
      RequestSize expectedSize,
      ImmutableList<String> sharedPromptParts) {
    this(id, path, body, timeout, expectedSize, Optional.empty(), sharedPromptParts);
  }

  /** Returns the request as a peer gets it that a node forwards it to. */
  SimulatedRequest afterHop(Duration remaining, Optional<String> lastEvent) {
    return new SimulatedRequest(
        id, path, body, remaining, expectedSize, lastEvent, sharedPromptParts);
  }

  @Override
  public String host() {
    return "host.example";
  }

  @Override
  public Optional<String> key() {
    return Optional.of(SimulatedCluster.KEY);
  }

  @Override
  public Optional<Duration> callerTimeout() {
    return Optional.of(timeout);
  }

  @Override
  public Optional<RequestSize> size() {
    return Optional.of(expectedSize);
  }

  @Override
  public RequestContent content(Optional<String> workspace) {
    return RequestContent.of(workspace, "POST", host(), path(), body.getBytes(UTF_8));
  }
}
