package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.annotations.VisibleForTesting;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.vaneworks.protocol.EngineJson;
import org.vaneworks.state.HostPort;
import org.vaneworks.transport.UndelimitedResponseFilter.ClosingConnectionException;

/**
 * Sends HTTP requests, each at most once, over pooled connections.
 *
 * <p>ServiceTalk's own retries are disabled: all retries are decided in {@code coordination}. What
 * answers hold until their calls have ended is bounded for all calls together, and for those to one
 * address; a call whose answer has no room fails. Servers that must not depend on what others send
 * are called through a sender of their own. Thread-safe.
 */
public final class HttpSender implements AutoCloseable {
  private static final String JSON = "application/json";

  /** Allows for one lost packet of the handshake, which is retransmitted after a second. */
  private static final int CONNECT_TIMEOUT_MILLIS = 1500;

  /**
   * Maximum size of the body of an answer, unless stated otherwise. The largest are pages of the
   * platform's store: about 1 MB for 2,400 endpoints.
   */
  private static final int MAX_ANSWER_BYTES = 4 << 20;

  /**
   * The same for {@code vaneworksd}, which passes on whole answers of plain services. Its heap is
   * not that of a forwarding node.
   */
  private static final int MAX_SERVICE_ANSWER_BYTES = 64 << 20;

  /** Maximum number of bytes of a head, and of lines between the parts of a body. */
  private static final int MAX_UNDECODED_BYTES = 64 << 10;

  /** Share of the heap of a forwarding node that the answers to all calls of a sender may hold. */
  private static final double NODE_HEAP_SHARE = 1.0 / 16;

  /** The same for {@code vaneworksd}. */
  private static final double SERVICE_HEAP_SHARE = 1.0 / 4;

  private final Executor executor;
  private final Optional<IoExecutor> io;
  private final Map<HostPort, RefCountedClient<HttpClient>> clients = new ConcurrentHashMap<>();

  private final int maxAnswerBytes;
  private final AnswerBudget memory;

  /** Schedules reads of input that is costly to decode, for each event loop. */
  private final Map<EventLoop, ReadScheduler> reads = new ConcurrentHashMap<>();

  private HttpSender(
      Executor executor, Optional<IoExecutor> io, int maxAnswerBytes, AnswerBudget memory) {
    this.maxAnswerBytes = maxAnswerBytes;
    this.executor = checkNotNull(executor);
    this.io = checkNotNull(io);
    this.memory = checkNotNull(memory);
  }

  private static AnswerBudget budget(double heapShare, int maxAnswerBytes) {
    // Two heads: that of the answer, and input that is not decoded yet.
    long answerBytes = BoundedAnswer.memoryOf(maxAnswerBytes) + 2L * MAX_UNDECODED_BYTES;
    return AnswerBudget.ofHeap(heapShare, answerBytes);
  }

  /**
   * Returns a sender without connections.
   *
   * @param executor the worker pool, which also provides timers and the clock
   */
  public static HttpSender create(Executor executor) {
    return new HttpSender(
        executor,
        Optional.empty(),
        MAX_SERVICE_ANSWER_BYTES,
        budget(SERVICE_HEAP_SHARE, MAX_SERVICE_ANSWER_BYTES));
  }

  /**
   * Returns a sender without connections that runs on one event loop.
   *
   * @param io the event loop, which also provides timers and the clock
   */
  public static HttpSender onEventLoop(IoExecutor io) {
    return onEventLoop(io, MAX_ANSWER_BYTES);
  }

  /**
   * Returns a sender without connections that runs on one event loop.
   *
   * @param io the event loop, which also provides timers and the clock
   * @param maxAnswerBytes maximum size of the body of an answer; the connection of a longer one is
   *     closed, and the call fails
   */
  public static HttpSender onEventLoop(IoExecutor io, int maxAnswerBytes) {
    return onEventLoop(io, maxAnswerBytes, budget(NODE_HEAP_SHARE, maxAnswerBytes));
  }

  @VisibleForTesting
  static HttpSender onEventLoop(IoExecutor io, int maxAnswerBytes, AnswerBudget memory) {
    return new HttpSender(io, Optional.of(io), maxAnswerBytes, memory);
  }

  /**
   * An HTTP response.
   *
   * @param refusalHeader value of the endpoint's refusal header; empty if absent
   * @param headers all headers of the response
   * @param endStated whether a length or a last chunk marked the end of the body, rather than the
   *     close of the connection
   */
  public record Response(
      int status,
      String body,
      String contentType,
      String refusalHeader,
      HttpHeaders headers,
      boolean endStated) {
    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }

  /** Sends a GET. */
  public CompletableFuture<Response> get(HostPort to, String target, Duration timeout) {
    return get(to, target, ImmutableMap.of(), timeout);
  }

  /** Sends a GET with additional headers. */
  public CompletableFuture<Response> get(
      HostPort to, String target, ImmutableMap<String, String> headers, Duration timeout) {
    return send(to, HttpRequestMethod.GET, target, "", headers, timeout);
  }

  /** Sends a POST with a JSON body. */
  public CompletableFuture<Response> post(
      HostPort to, String target, String body, Duration timeout) {
    return post(to, target, body, ImmutableMap.of(), timeout);
  }

  /** Sends a POST with a JSON body and additional headers. */
  public CompletableFuture<Response> post(
      HostPort to,
      String target,
      String body,
      ImmutableMap<String, String> headers,
      Duration timeout) {
    return send(to, HttpRequestMethod.POST, target, body, headers, timeout);
  }

  /** Sends a request; if it fails, the future fails with ServiceTalk's exception. */
  public CompletableFuture<Response> send(
      HostPort to, HttpRequestMethod method, String target, String body, Duration timeout) {
    return send(to, method, target, body, ImmutableMap.of(), timeout);
  }

  private CompletableFuture<Response> send(
      HostPort to,
      HttpRequestMethod method,
      String target,
      String body,
      ImmutableMap<String, String> headers,
      Duration timeout) {
    RefCountedClient<HttpClient> refCounted = acquire(to);
    HttpClient client = refCounted.client();
    HttpRequest request = client.newRequest(method, target);
    headers.forEach(request::setHeader);
    if (!body.isEmpty()) {
      BufferAllocator allocator = client.executionContext().bufferAllocator();
      request.setHeader(HttpHeaderNames.CONTENT_TYPE, JSON);
      request.payloadBody(allocator.fromUtf8(body));
    }
    StreamingHttpRequest streaming = request.toStreamingRequest();
    BoundedAnswer answer = BoundedAnswer.of(maxAnswerBytes, memory.account(to));
    return client
        .asStreamingClient()
        .request(streaming)
        .retry((count, cause) -> cause instanceof ClosingConnectionException)
        .flatMap(response -> readResponse(response, answer))
        .timeout(timeout, executor)
        .whenFinally(answer::release)
        .whenFinally(refCounted::release)
        .whenOnError(FatalErrors::report)
        .toCompletionStage()
        .toCompletableFuture();
  }

  /** Counts a call and returns its client, which is not closed before the call ends. */
  private RefCountedClient<HttpClient> acquire(HostPort to) {
    RefCountedClient<HttpClient> client;
    do {
      // One that closes its connections was removed before.
      client = clients.computeIfAbsent(to, this::newRefCountedClient);
    } while (!client.tryAcquire());
    return client;
  }

  private static Single<Response> readResponse(
      StreamingHttpResponse response, BoundedAnswer answer) {
    return response
        .payloadBody()
        .collect(() -> answer, BoundedAnswer::add)
        .map(body -> toResponse(response, body.text(UTF_8)));
  }

  private static Response toResponse(HttpResponseMetaData response, String body) {
    CharSequence contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, JSON);
    CharSequence refusal = response.headers().get(EngineJson.REFUSED_HEADER, "");
    return new Response(
        response.status().code(),
        body,
        contentType.toString(),
        refusal.toString(),
        response.headers(),
        UndelimitedResponseFilter.isDelimited(response));
  }

  private RefCountedClient<HttpClient> newRefCountedClient(HostPort to) {
    return RefCountedClient.of(newClient(to));
  }

  private HttpClient newClient(HostPort to) {
    var builder = HttpClients.forResolvedAddress(to.host(), to.port());
    io.ifPresent(
        loop ->
            builder
                .ioExecutor(loop)
                .appendConnectionFactoryFilter(DeferredConnectionFactory.onLoop(loop)));
    return builder
        .executor(executor)
        .loadBalancerFactory(SingleAddressLoadBalancer.withoutOutlierDetection())
        .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
        .appendConnectionFilter(UndelimitedResponseFilter::new)
        .appendConnectionFilter(SurplusResponseFilter::new)
        .appendConnectionFilter(
            connection -> new LimitedConnection(connection, memory.account(to), reads))
        .build();
  }

  /**
   * Limits what a server may send on a connection outside of bodies, and the time that its input
   * takes of the event loop at once.
   */
  private static final class LimitedConnection extends StreamingHttpConnectionFilter {
    LimitedConnection(
        FilterableStreamingHttpConnection connection,
        UndecodedInputLimit.Account memory,
        Map<EventLoop, ReadScheduler> reads) {
      super(connection);
      Channel channel = ((NettyConnectionContext) connection.connectionContext()).nettyChannel();
      FinalStatuses.install(channel.pipeline());
      UndecodedInputLimit.install(channel.pipeline(), MAX_UNDECODED_BYTES, memory);
      BoundedReads.install(
          channel,
          connection.executionContext().bufferAllocator(),
          reads.computeIfAbsent(channel.eventLoop(), HttpSender::newReadScheduler));
    }
  }

  private static ReadScheduler newReadScheduler(EventLoop loop) {
    return ReadScheduler.create(
        ErrorReportingExecutor.of(NettyIoExecutors.fromNettyEventLoop(loop)));
  }

  /** Closes the connections to an address once the calls in progress have ended. */
  public void closeConnections(HostPort address) {
    RefCountedClient<HttpClient> client = clients.remove(address);
    if (client != null) {
      client.closeWhenIdle();
    }
  }

  @Override
  public void close() {
    Completable closing = Completable.completed();
    for (RefCountedClient<HttpClient> refCounted : clients.values()) {
      closing = closing.merge(refCounted.client().closeAsync());
    }
    closing.subscribe();
  }
}
