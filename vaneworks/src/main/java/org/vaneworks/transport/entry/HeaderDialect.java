package org.vaneworks.transport.entry;

import io.servicetalk.http.api.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.forwarding.Attempt;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.EndpointStatement;
import org.vaneworks.state.HostPort;

/** Which headers of callers and endpoints carry what. An implementation keeps no state. */
public interface HeaderDialect {
  /** Returns the caller's name of its attempt. */
  Optional<String> requestId(HttpHeaders headers);

  /** Returns the secret that shows whose request it is. */
  Optional<String> key(HttpHeaders headers);

  /** Returns how long the caller waits. */
  Optional<Duration> callerTimeout(HttpHeaders headers);

  /** Returns how large the request is expected to be. */
  Optional<RequestSize> size(HttpHeaders headers);

  /**
   * Changes a caller's headers into those for an endpoint.
   *
   * @param headers a copy that is about to be sent
   */
  void rewriteForEndpoint(HttpHeaders headers, Attempt attempt);

  /** Returns whether an answer states that the request was not run. */
  boolean notRun(int status, HttpHeaders headers);

  /** Returns the engine that an answer names as the reason. */
  Optional<HostPort> obstacle(HttpHeaders headers);

  /** Returns what an answer says of its endpoint. */
  EndpointStatement statement(int status, HttpHeaders headers);

  /** Returns whether an answer belongs to the request of that id. */
  boolean matches(HttpHeaders headers, String requestId);
}
