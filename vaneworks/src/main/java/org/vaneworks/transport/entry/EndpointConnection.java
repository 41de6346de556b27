package org.vaneworks.transport.entry;

import com.google.common.base.Splitter;
import com.google.common.primitives.Ints;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.time.Duration;
import java.util.Optional;

/**
 * A pooled connection to an endpoint, which is closed before the endpoint closes it.
 *
 * <p>A request that crosses the endpoint's close is lost, unless it may run twice. Confined to the
 * node's event loop.
 */
final class EndpointConnection extends StreamingHttpConnectionFilter {
  /** Context key of the user that a request belongs to. */
  static final ContextMap.Key<User> USER = ContextMap.Key.newKey("user", User.class);

  /** Allows for the way from the endpoint, whose time starts earlier, and for a late timer. */
  private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(500);

  private static final CharSequence KEEP_ALIVE = "keep-alive";
  private static final String TIMEOUT_PARAMETER = "timeout=";
  private static final Splitter PARAMETERS = Splitter.on(',').trimResults();

  /** The user of a connection for one request. */
  @FunctionalInterface
  interface User {
    /** Called before the request is written. */
    void connected(EndpointConnection connection);
  }

  private Cancellable idleTimer = () -> {};

  EndpointConnection(FilterableStreamingHttpConnection connection) {
    super(connection);
  }

  @Override
  public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
    idleTimer.cancel();
    Optional.ofNullable(request.context().get(USER)).ifPresent(user -> user.connected(this));
    return delegate().request(request);
  }

  /** Records that a response with these headers was received completely. */
  void rested(HttpHeaders headers) {
    keepAliveTimeout(headers).ifPresent(this::closeAfterIdle);
  }

  private void closeAfterIdle(Duration timeout) {
    Duration idle = timeout.minus(KEEP_ALIVE_MARGIN);
    idleTimer =
        executionContext()
            .executor()
            .schedule(
                () -> closeAsyncGracefully().subscribe(), idle.isNegative() ? Duration.ZERO : idle);
  }

  /** Returns how long the endpoint keeps an idle connection open, if it states that. */
  private static Optional<Duration> keepAliveTimeout(HttpHeaders headers) {
    CharSequence value = headers.get(KEEP_ALIVE);
    if (value == null) {
      return Optional.empty();
    }
    for (String parameter : PARAMETERS.split(value)) {
      if (parameter.startsWith(TIMEOUT_PARAMETER)) {
        String seconds = parameter.substring(TIMEOUT_PARAMETER.length());
        return Optional.ofNullable(Ints.tryParse(seconds)).map(Duration::ofSeconds);
      }
    }
    return Optional.empty();
  }
}
