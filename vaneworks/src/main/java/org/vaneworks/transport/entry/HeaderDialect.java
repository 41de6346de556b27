package org.vaneworks.transport.entry;

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

/** Maps platform-specific headers of callers and endpoints. Implementations are stateless. */
public interface HeaderDialect {
  /** Returns the request ID that the caller chose for its attempt. */
  Optional<String> requestId(HttpHeaders headers);

  /** Returns the API key that identifies the workspace of the request. */
  Optional<String> key(HttpHeaders headers);

  /** Returns how long the caller waits for the response. */
  Optional<Duration> callerTimeout(HttpHeaders headers);

  /** Returns how many tokens the response has at most, if the request states that. */
  default OptionalInt maxAnswerTokens(HttpHeaders headers) {
    return OptionalInt.empty();
  }

  /** Returns the expected size of the request. */
  Optional<RequestSize> size(HttpHeaders headers);

  /**
   * Returns the ids of the parts of the prompt that other requests may share, in the order of the
   * prompt; none if the request states no parts or they are malformed.
   */
  ImmutableList<String> sharedPromptParts(HttpHeaders headers);

  /**
   * Rewrites a caller's headers in place for an endpoint.
   *
   * @param headers copy of the caller's headers that will be sent with the attempt
   */
  void rewriteForEndpoint(HttpHeaders headers, Attempt attempt);

  /**
   * Rewrites a caller's headers in place for a peer, which reads them like those of a caller.
   *
   * @param headers copy of the caller's headers that will be sent with the attempt
   */
  void rewriteForPeer(HttpHeaders headers, Attempt attempt);

  /** Returns the refusal of the peer that a request was forwarded to, if the response is one. */
  default Optional<PeerRefusal> peerRefusal(HttpHeaders headers) {
    return Optional.empty();
  }

  /** Returns whether a response reports that the request was not run. */
  boolean notRun(int status, HttpHeaders headers);

  /** Returns the engine that a response names as the reason that the request was not run. */
  Optional<HostPort> obstacle(HttpHeaders headers);

  /** Returns the signals that a response carries about its endpoint. */
  EndpointSignal signal(int status, HttpHeaders headers);

  /** Returns whether a response belongs to the request with the given ID. */
  boolean matches(HttpHeaders headers, String requestId);
}
