package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.vaneworks.protocol.EngineJson;
import org.vaneworks.state.HostPort;

/**
 * Sends HTTP requests, each at most once, over pooled connections.
 *
 * <p>ServiceTalk's own retries are switched off: whether to send again is decided in one place,
 * {@code coordination}. Thread-safe.
 */
public final class HttpSender implements AutoCloseable {
  private static final String JSON = "application/json";

  /** Long enough for one lost packet of the handshake, which is sent again after a second. */
  private static final int CONNECT_TIMEOUT_MILLIS = 1500;

  private final Executor executor;
  private final Optional<IoExecutor> io;
  private final Map<HostPort, CountedClient<HttpClient>> clients = new ConcurrentHashMap<>();

  private HttpSender(Executor executor, Optional<IoExecutor> io) {
    this.executor = checkNotNull(executor);
    this.io = checkNotNull(io);
  }

  /**
   * Returns a sender without connections.
   *
   * @param executor worker pool, timers and clock
   */
  public static HttpSender create(Executor executor) {
    return new HttpSender(executor, Optional.empty());
  }

  /**
   * Returns a sender without connections that does all its work on one event loop.
   *
   * @param io the event loop, its timers and clock
   */
  public static HttpSender onEventLoop(IoExecutor io) {
    return new HttpSender(io, Optional.of(io));
  }

  /**
   * An answer.
   *
   * @param refused the endpoint's refusal header, empty if absent
   * @param headers all of its headers
   */
  public record Response(
      int status, String body, String contentType, String refused, HttpHeaders headers) {
    /** Returns whether the status is one of success. */
    public boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }

  /** Sends a GET. */
  public CompletableFuture<HttpSender.Response> get(HostPort to, String target, Duration limit) {
    return send(to, HttpRequestMethod.GET, target, "", limit);
  }

  /** Sends a POST with a JSON body. */
  public CompletableFuture<HttpSender.Response> post(
      HostPort to, String target, String body, Duration limit) {
    return send(to, HttpRequestMethod.POST, target, body, limit);
  }

  /** Sends a request; a failed future carries what ServiceTalk said. */
  public CompletableFuture<HttpSender.Response> send(
      HostPort to, HttpRequestMethod method, String target, String body, Duration limit) {
    CountedClient<HttpClient> counted = clients.computeIfAbsent(to, this::connect);
    HttpClient client = counted.callBegins();
    HttpRequest request = client.newRequest(method, target);
    if (!body.isEmpty()) {
      BufferAllocator allocator = client.executionContext().bufferAllocator();
      request.setHeader(HttpHeaderNames.CONTENT_TYPE, JSON);
      request.payloadBody(allocator.fromUtf8(body));
    }
    return client
        .request(request)
        .timeout(limit, executor)
        .whenFinally(counted::callOver)
        .map(HttpSender::answer)
        .toCompletionStage()
        .toCompletableFuture();
  }

  private static HttpSender.Response answer(HttpResponse response) {
    CharSequence type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, JSON);
    CharSequence refused = response.headers().get(EngineJson.REFUSED_HEADER, "");
    return new HttpSender.Response(
        response.status().code(),
        response.payloadBody().toString(UTF_8),
        type.toString(),
        refused.toString(),
        response.headers());
  }

  private CountedClient<HttpClient> connect(HostPort to) {
    return CountedClient.of(clientOf(to));
  }

  private HttpClient clientOf(HostPort to) {
    var builder = HttpClients.forResolvedAddress(to.host(), to.port());
    io.ifPresent(builder::ioExecutor);
    return builder
        .executor(executor)
        .loadBalancerFactory(SingleAddress.alwaysTried())
        .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
        .build();
  }

  /** Closes connections to an address that is no longer used, once their calls are done. */
  public void closeConnections(HostPort address) {
    CountedClient<HttpClient> client = clients.remove(address);
    if (client != null) {
      client.forget();
    }
  }

  @Override
  public void close() {
    Completable all = Completable.completed();
    for (CountedClient<HttpClient> counted : clients.values()) {
      all = all.merge(counted.client().closeAsync());
    }
    all.subscribe();
  }
}
