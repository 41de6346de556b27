package org.vaneworks.transport.entry;

import com.google.common.collect.ImmutableList;
import io.servicetalk.http.api.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.forwarding.Attempt;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;

/** A dialect that reads and writes no headers; each request has the same ID. */
final class StubHeaderDialect implements HeaderDialect {
  /** The ID of each request. */
  volatile Optional<String> id = Optional.of("q1");

  /** Called for the headers of each request. */
  Runnable onRequest = () -> {};

  /** Called for the headers of each response. */
  Runnable onResponse = () -> {};

  @Override
  public Optional<String> requestId(HttpHeaders headers) {
    onRequest.run();
    return id;
  }

  @Override
  public Optional<String> key(HttpHeaders headers) {
    return Optional.empty();
  }

  @Override
  public Optional<Duration> callerTimeout(HttpHeaders headers) {
    return Optional.empty();
  }

  @Override
  public Optional<RequestSize> size(HttpHeaders headers) {
    return Optional.empty();
  }

  @Override
  public ImmutableList<String> sharedPromptParts(HttpHeaders headers) {
    return ImmutableList.of();
  }

  @Override
  public void rewriteForEndpoint(HttpHeaders headers, Attempt attempt) {}

  @Override
  public void rewriteForPeer(HttpHeaders headers, Attempt attempt) {}

  @Override
  public boolean notRun(int status, HttpHeaders headers) {
    return false;
  }

  @Override
  public Optional<HostPort> obstacle(HttpHeaders headers) {
    return Optional.empty();
  }

  @Override
  public EndpointSignal signal(int status, HttpHeaders headers) {
    return EndpointSignal.NONE;
  }

  @Override
  public boolean matches(HttpHeaders headers, String requestId) {
    onResponse.run();
    return true;
  }
}
