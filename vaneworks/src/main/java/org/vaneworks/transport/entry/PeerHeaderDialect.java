package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.servicetalk.http.api.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.vaneworks.coordination.forwarding.Attempt;
import org.vaneworks.coordination.forwarding.PeerRefusal;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Verdict;

/**
 * The headers of requests that are forwarded to a peer: those of the caller, which the peer reads
 * as if it had received the request, and those of {@link PeerHeaders}.
 */
final class PeerHeaderDialect implements HeaderDialect {
  private final HeaderDialect platform;

  PeerHeaderDialect(HeaderDialect platform) {
    this.platform = checkNotNull(platform);
  }

  @Override
  public Optional<String> requestId(HttpHeaders headers) {
    return platform.requestId(headers);
  }

  @Override
  public Optional<String> key(HttpHeaders headers) {
    return platform.key(headers);
  }

  @Override
  public Optional<Duration> callerTimeout(HttpHeaders headers) {
    return platform.callerTimeout(headers);
  }

  @Override
  public OptionalInt maxAnswerTokens(HttpHeaders headers) {
    return platform.maxAnswerTokens(headers);
  }

  @Override
  public Optional<RequestSize> size(HttpHeaders headers) {
    return platform.size(headers);
  }

  @Override
  public ImmutableList<String> sharedPromptParts(HttpHeaders headers) {
    return platform.sharedPromptParts(headers);
  }

  @Override
  public void rewriteForEndpoint(HttpHeaders headers, Attempt attempt) {
    platform.rewriteForPeer(headers, attempt);
    PeerHeaders.write(headers, attempt.hop().orElseThrow());
  }

  @Override
  public void rewriteForPeer(HttpHeaders headers, Attempt attempt) {
    rewriteForEndpoint(headers, attempt);
  }

  @Override
  public boolean notRun(int status, HttpHeaders headers) {
    Optional<PeerRefusal> refusal = PeerHeaders.readRefusal(headers);
    return refusal.filter(peer -> peer.verdict() == Verdict.NOT_RUN).isPresent();
  }

  @Override
  public Optional<PeerRefusal> peerRefusal(HttpHeaders headers) {
    return PeerHeaders.readRefusal(headers);
  }

  /** Returns none: the peer avoids the engines that it named. */
  @Override
  public Optional<HostPort> obstacle(HttpHeaders headers) {
    return Optional.empty();
  }

  /** Returns none: the peer has processed the signals of the endpoint. */
  @Override
  public EndpointSignal signal(int status, HttpHeaders headers) {
    return EndpointSignal.NONE;
  }

  @Override
  public boolean matches(HttpHeaders headers, String requestId) {
    return platform.matches(headers, requestId);
  }
}
