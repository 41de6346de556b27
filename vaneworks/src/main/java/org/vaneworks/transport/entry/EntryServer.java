package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.primitives.Longs;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.netty.channel.Channel;
import io.netty.handler.codec.DecoderException;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HeaderUtils;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpServerBuilder;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.vaneworks.coordination.forwarding.CallerRequest;
import org.vaneworks.coordination.forwarding.CallerResponse;
import org.vaneworks.coordination.forwarding.PeerHop;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * HTTP servers for callers whose requests are forwarded, for the readiness check and for metrics.
 */
public final class EntryServer {
  /** Handles requests whose body has been read completely. */
  @FunctionalInterface
  public interface RequestHandler {
    /** Handles a request; the returned listener receives later events of the caller. */
    CallerResponse.Listener handle(CallerRequest request, CallerResponse response);
  }

  /** Handles requests that peers forward, whose body has been read completely. */
  @FunctionalInterface
  public interface ForwardedRequestHandler {
    /** Handles a request; the returned listener receives later events of the caller. */
    CallerResponse.Listener handle(CallerRequest request, CallerResponse response, PeerHop hop);
  }

  /** Time after which an idle connection to the ports for readiness and metrics is closed. */
  private static final Duration INTERNAL_IDLE_TIMEOUT = Duration.ofSeconds(60);

  private static final int MAX_INTERNAL_HEAD_BYTES = 8 << 10;

  /** Time for which an idle connection of a peer stays open; peers close them before. */
  private static final Duration PEER_IDLE_TIMEOUT = Duration.ofSeconds(10);

  /** What a peer adds to the headers of a caller, at most. */
  private static final int PEER_HEADER_BYTES = 1024;

  /**
   * Minimum time after which to retry a request that was refused for lack of memory. A body is
   * usually held for less than a second.
   */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(500);

  private static final int RETRY_SPREAD_MILLIS = 1000;

  private static final String FAILED_INSIDE = "an exception of the node";

  /** Colon, CR and LF of a header line; a space is optional. */
  private static final int HEADER_OVERHEAD_BYTES = 3;

  /** The Prometheus text exposition format. */
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final RequestHandler handler;
  private final HeaderDialect dialect;
  private final Supplier<EntryLimits> limits;
  private final CallerConnections connections;
  private final Counters counters;
  private final BooleanSupplier closing;
  private final Optional<Duration> peerKeepAlive;
  private final MemoryBudget memory;

  private EntryServer(
      RequestHandler handler,
      HeaderDialect dialect,
      Supplier<EntryLimits> limits,
      BooleanSupplier closing,
      Optional<Duration> peerKeepAlive,
      CallerConnections connections,
      Counters counters,
      MemoryBudget memory) {
    this.memory = checkNotNull(memory);
    this.peerKeepAlive = checkNotNull(peerKeepAlive);
    this.connections = checkNotNull(connections);
    this.counters = checkNotNull(counters);
    this.handler = checkNotNull(handler);
    this.dialect = checkNotNull(dialect);
    this.limits = checkNotNull(limits);
    this.closing = checkNotNull(closing);
  }

  /**
   * Starts the server for callers.
   *
   * @param io the node's event loop, on which all work runs
   * @param maxHeaderBytes maximum length of the start line, and of a single header field
   * @param limits returns the current bounds on what callers may send
   * @param closing returns whether connections are to be closed after their next response
   * @param connections set to which caller connections are added while they are open
   * @param memory bounds what requests and responses hold
   */
  public static HttpServerContext listen(
      HostPort address,
      IoExecutor io,
      RequestHandler handler,
      HeaderDialect dialect,
      int maxHeaderBytes,
      Supplier<EntryLimits> limits,
      BooleanSupplier closing,
      CallerConnections connections,
      Counters counters,
      MemoryBudget memory)
      throws Exception {
    return new EntryServer(
            handler, dialect, limits, closing, Optional.empty(), connections, counters, memory)
        .listen(address, io, maxHeaderBytes);
  }

  /**
   * Starts the server for requests that peers forward. A request without the token is refused.
   *
   * @param token the token that this node published for its peers
   * @see #listen
   */
  public static HttpServerContext listenForPeers(
      HostPort address,
      IoExecutor io,
      String token,
      ForwardedRequestHandler handler,
      HeaderDialect dialect,
      int maxHeaderBytes,
      Supplier<EntryLimits> limits,
      BooleanSupplier closing,
      CallerConnections connections,
      Counters counters,
      MemoryBudget memory)
      throws Exception {
    return new EntryServer(
            new PeerRequestHandler(token, handler, counters),
            dialect,
            () -> limitsOfPeers(limits.get()),
            closing,
            Optional.of(PEER_IDLE_TIMEOUT),
            connections,
            counters,
            memory)
        .listen(address, io, maxHeaderBytes);
  }

  private static EntryLimits limitsOfPeers(EntryLimits callers) {
    return new EntryLimits(
        callers.maxHeaderBytes() + PEER_HEADER_BYTES,
        callers.maxBodyBytes(),
        callers.headerTimeout(),
        PEER_IDLE_TIMEOUT);
  }

  private HttpServerContext listen(HostPort address, IoExecutor io, int maxHeaderBytes)
      throws Exception {
    HttpServerBuilder server =
        eventLoopServer(address, io)
            .protocols(
                HttpProtocolConfigs.h1()
                    .maxStartLineLength(maxHeaderBytes)
                    .maxHeaderFieldLength(maxHeaderBytes)
                    .build())
            .appendLateConnectionAcceptor(EventLoopConnectionAcceptor.onEventLoop(this::accept));
    return listen(server, io, this::handle);
  }

  private static HttpServerContext listen(
      HttpServerBuilder server, IoExecutor io, StreamingHttpService service) throws Exception {
    return DeferredRegistration.install(server.listenStreamingAndAwait(service), io);
  }

  /**
   * Stops listening once the connections that have arrived are accepted; open ones stay so. Must be
   * called by a task of the event loop.
   *
   * <p>A graceful close of the server would end each connection after its response in progress,
   * without reading the requests that have arrived.
   *
   * @return completes on the event loop when the server has stopped listening
   */
  public static CompletableFuture<Void> stopListening(HttpServerContext server, IoExecutor io) {
    return ListeningChannels.find(server.listenAddress(), io)
        .map(DeferredRegistration::closeAfterAccepting)
        .orElseGet(() -> CompletableFuture.completedFuture(null));
  }

  private Completable accept(ConnectionInfo connection) {
    Channel channel = ((NettyConnectionContext) connection).nettyChannel();
    CallerConnection.install(channel, limits, counters, connections);
    CallerConnection.of(channel).countInput(memory);
    return Completable.completed();
  }

  /** Starts the server for the load balancer's readiness check, which responds on every path. */
  public static HttpServerContext listenReadiness(
      HostPort address, IoExecutor io, BooleanSupplier ready, MemoryBudget memory)
      throws Exception {
    return listen(
        internalServer(address, io, memory),
        io,
        (context, request, factory) -> {
          startRequest(context, memory);
          return Single.succeeded(
              ready.getAsBoolean() ? factory.ok() : factory.serviceUnavailable());
        });
  }

  /** Starts the server for the node's metrics, which returns the text on every path. */
  public static HttpServerContext listenMetrics(
      HostPort address, IoExecutor io, Supplier<String> metrics, MemoryBudget memory)
      throws Exception {
    return listen(
        internalServer(address, io, memory),
        io,
        (context, request, factory) -> {
          startRequest(context, memory);
          return Single.succeeded(
              factory
                  .ok()
                  .setHeader(HttpHeaderNames.CONTENT_TYPE, METRICS_TYPE)
                  .payloadBody(
                      Publisher.from(
                          context.executionContext().bufferAllocator().fromUtf8(metrics.get()))));
        });
  }

  /** Returns a server that closes connections which send long heads or trailers, or nothing. */
  private static HttpServerBuilder internalServer(
      HostPort address, IoExecutor io, MemoryBudget memory) {
    return eventLoopServer(address, io)
        .socketOption(ServiceTalkSocketOptions.IDLE_TIMEOUT, INTERNAL_IDLE_TIMEOUT.toMillis())
        .appendLateConnectionAcceptor(
            EventLoopConnectionAcceptor.onEventLoop(
                connection -> {
                  boundInput(((NettyConnectionContext) connection).nettyChannel(), memory);
                  return Completable.completed();
                }));
  }

  /** Accounts for a request that is answered at once. */
  private static void startRequest(HttpServiceContext context, MemoryBudget memory) {
    InputMemory input = InputMemory.of(((NettyConnectionContext) context).nettyChannel());
    MemoryLease lease = memory.lease();
    input.startRequest(lease);
    lease.release();
    input.awaitRequest();
  }

  private static void boundInput(Channel channel, MemoryBudget memory) {
    InputMemory.Owner owner =
        new InputMemory.Owner() {
          @Override
          public boolean isWaiting() {
            return true;
          }

          @Override
          public boolean isEnding() {
            return false;
          }

          @Override
          public void memoryExhausted() {
            var unused = channel.close();
          }

          @Override
          public void stalled() {
            var unused = channel.close();
          }

          @Override
          public void givenUpAtRest() {
            var unused = channel.close();
          }

          @Override
          public void linesTooLong() {
            var unused = channel.close();
          }
        };
    InputMemory.install(
        channel, memory, () -> MAX_INTERNAL_HEAD_BYTES, () -> MAX_INTERNAL_HEAD_BYTES, owner);
  }

  private static HttpServerBuilder eventLoopServer(HostPort address, IoExecutor io) {
    return HttpServers.forAddress(new InetSocketAddress(address.host(), address.port()))
        .ioExecutor(io)
        .executor(io)
        .executionStrategy(HttpExecutionStrategies.offloadNone());
  }

  private Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory factory) {
    Channel channel = ((NettyConnectionContext) context).nettyChannel();
    CallerConnection connection = CallerConnection.of(channel);
    InputMemory input = InputMemory.of(channel);
    MemoryLease lease = memory.lease();
    EntryResponse response =
        new EntryResponse(
            factory,
            context.executionContext().bufferAllocator(),
            // A request that has arrived is answered first.
            () -> closing.getAsBoolean() && !input.hasWaitingRequests(),
            peerKeepAlive,
            connection,
            lease);
    try {
      return receive(context, request, response, lease);
    } catch (RuntimeException e) {
      return failInside(response, e, Refusal.nothingSent(Reason.INTERNAL, FAILED_INSIDE))
          .response();
    }
  }

  private Single<StreamingHttpResponse> receive(
      HttpServiceContext context,
      StreamingHttpRequest request,
      EntryResponse response,
      MemoryLease lease) {
    Channel channel = ((NettyConnectionContext) context).nettyChannel();
    CallerConnection connection = CallerConnection.of(channel);
    InputMemory input = InputMemory.of(channel);
    boolean answerable = !connection.closesAfterFormerResponse();
    connection.requestStarted(response);
    input.startRequest(lease);
    Optional<String> id = dialect.requestId(request.headers());
    if (!answerable) {
      return refuseAndClose(response, id.orElse(""), Reason.STOPPING, "after the last response");
    }
    // The decoder bounds a line only if it arrives in few parts.
    if (request.requestTarget().length() > limits.get().maxHeaderBytes()) {
      return refuseAndClose(response, id.orElse(""), Reason.TARGET_TOO_LONG, "the request target");
    }
    if (id.isEmpty()) {
      recordRefusal("", Refusal.nothingSent(Reason.INVALID_HEADER, "the request has no id"));
      return response.refuseUnsent(Reason.INVALID_HEADER, "the request has no id").response();
    }
    response.requestId(id.get());
    if (totalBytes(request.headers()) > limits.get().maxHeaderBytes()) {
      return refuseAndClose(response, id.get(), Reason.HEADERS_TOO_LARGE, "all headers together");
    }
    if (!isBodyDelimited(request.headers())) {
      String detail = "a transfer coding other than chunked does not delimit the body";
      return refuseAndClose(response, id.get(), Reason.MALFORMED_HTTP, detail);
    }
    BodyCollector collector =
        new BodyCollector(
            context.executionContext().bufferAllocator(),
            limits.get().maxBodyBytes(),
            lease,
            () -> refuseForMemory(response, id.get()));
    long length = statedLength(request.headers());
    collector.expect(length);
    if (collector.isDiscarding()) {
      return response.response();
    }
    connection.onBodyRefused(reason -> refuseBody(reason, collector, response, id.get()));
    BodyPauseTimer timer =
        new BodyPauseTimer(
            context.executionContext().executor(),
            limits.get().idleTimeout(),
            collector,
            () -> refuseSlowBody(collector, response, id.get()));
    PendingInput pending =
        new PendingInput(
            memory.clock(),
            collector::receivedBytes,
            () -> !input.isDecoding(),
            () -> false,
            lease::bodyBytes,
            () -> {
              connection.giveUpInput();
              input.giveUp();
              collector.abandon();
            });
    // Most bodies arrive with their head.
    connection.afterRead(
        () -> {
          if (timer.start() && !collector.isDiscarding()) {
            memory.addPending(pending);
          }
        });
    Publisher<Buffer> body =
        request
            .payloadBody()
            .afterOnNext(part -> pending.recordRead())
            .beforeFinally(
                () -> {
                  timer.cancel();
                  memory.removePending(pending);
                })
            .beforeOnComplete(
                () -> {
                  connection.bodyReceived();
                  input.endRequest();
                });
    // The response does not wait for the end of the body, as it may be refused before.
    Cancellable receiving =
        body.collect(() -> collector, BodyCollector::add)
            .map(whole -> forward(request, whole, response, id.get(), lease))
            .onErrorReturn(
                DecoderException.class, failure -> refuseMalformed(response, id.get(), failure))
            .whenOnError(cause -> inputFailed(response, cause))
            .subscribe(unused -> {});
    return response.response().whenCancel(receiving::cancel);
  }

  /** Ends a request that has not been forwarded, as its input or this node failed. */
  private void inputFailed(EntryResponse response, Throwable cause) {
    if (cause instanceof RuntimeException exception && !response.isEnded()) {
      failInside(response, exception, Refusal.nothingSent(Reason.INTERNAL, FAILED_INSIDE));
    } else {
      response.fail(cause);
    }
  }

  /** Answers a request in whose handling this node has thrown an exception. */
  @CanIgnoreReturnValue
  private EntryResponse failInside(
      EntryResponse response, RuntimeException cause, Refusal refusal) {
    EventLog.error(Event.REQUEST_FAILED_INSIDE, cause, "request", response.requestId());
    if (!response.isEnded()) {
      refuseAndClose(response, response.requestId(), refusal);
    }
    return response;
  }

  /** Refuses a request for whose body the node has no memory; it has not been forwarded. */
  private Single<StreamingHttpResponse> refuseForMemory(EntryResponse response, String id) {
    if (response.isEnded()) {
      return response.response();
    }
    String detail = "held: " + memory.heldBytes() + " of " + memory.limitBytes() + " bytes";
    Refusal refusal = Refusal.nothingSent(Reason.NODE_MEMORY, detail);
    return refuseAndClose(response, id, refusal.withRetryAfter(retryAfter(id))).response();
  }

  private Single<StreamingHttpResponse> refuseAndClose(
      EntryResponse response, String id, Reason reason, String detail) {
    return refuseAndClose(response, id, Refusal.nothingSent(reason, detail)).response();
  }

  /** Refuses a request that has no response yet, and records it. */
  @CanIgnoreReturnValue
  private EntryResponse refuseAndClose(EntryResponse response, String id, Refusal refusal) {
    recordRefusal(id, refusal);
    return response.refuseAndClose(refusal);
  }

  private void recordRefusal(String id, Refusal refusal) {
    counters.count(Metric.REFUSALS, refusal.reason().code());
    counters.count(Metric.VERDICTS, refusal.verdict().name().toLowerCase(Locale.ROOT));
    EventLog.info(
        Event.REQUEST_REFUSED,
        "request",
        id,
        "reason",
        refusal.reason().code(),
        "verdict",
        refusal.verdict(),
        "detail",
        refusal.detail());
  }

  private EntryResponse refuseMalformed(EntryResponse response, String id, Throwable failure) {
    if (response.isEnded()) {
      return response;
    }
    String detail = failure.getMessage();
    return refuseAndClose(response, id, Refusal.nothingSent(Reason.MALFORMED_HTTP, detail));
  }

  /** Refuses a request the rest of whose input can't be held. */
  private void refuseBody(
      Reason reason, BodyCollector collector, EntryResponse response, String id) {
    collector.abandon();
    if (reason == Reason.NODE_MEMORY) {
      var unused = refuseForMemory(response, id);
    } else if (!response.isEnded()) {
      refuseAndClose(response, id, Refusal.nothingSent(reason, "trailers or chunk extensions"));
    }
  }

  private void refuseSlowBody(BodyCollector collector, EntryResponse response, String id) {
    collector.abandon();
    if (!response.isEnded()) {
      String detail = "received: " + collector.receivedBytes() + " bytes";
      refuseAndClose(response, id, Refusal.nothingSent(Reason.BODY_TOO_SLOW, detail));
    }
  }

  /** Returns when to retry; requests that are refused together are spread over a second. */
  private static Duration retryAfter(String id) {
    return MIN_RETRY_AFTER.plusMillis(Math.floorMod(id.hashCode(), RETRY_SPREAD_MILLIS));
  }

  /** Returns the length of the body that the head states, or -1 for chunks of unknown length. */
  private static long statedLength(HttpHeaders headers) {
    if (HeaderUtils.isTransferEncodingChunked(headers)) {
      return -1;
    }
    CharSequence length = headers.get(HttpHeaderNames.CONTENT_LENGTH, "0");
    // The decoder has checked it.
    return Optional.ofNullable(Longs.tryParse(length.toString().trim())).orElse(-1L);
  }

  private static boolean isBodyDelimited(HttpHeaders headers) {
    for (CharSequence coding : headers.values(HttpHeaderNames.TRANSFER_ENCODING)) {
      if (!Ascii.equalsIgnoreCase(coding, HttpHeaderValues.CHUNKED)) {
        return false;
      }
    }
    return true;
  }

  private static long totalBytes(HttpHeaders headers) {
    long bytes = 0;
    for (Map.Entry<CharSequence, CharSequence> header : headers) {
      bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
    }
    return bytes;
  }

  private EntryResponse forward(
      StreamingHttpRequest request,
      BodyCollector collector,
      EntryResponse response,
      String id,
      MemoryLease lease) {
    if (response.isEnded()) {
      return response;
    }
    if (collector.isOverLimit()) {
      String detail = "allowed: " + limits.get().maxBodyBytes();
      return refuseAndClose(response, id, Refusal.nothingSent(Reason.BODY_TOO_LARGE, detail));
    }
    EntryRequest whole = new EntryRequest(request, collector.body(), dialect, id, lease);
    try {
      response.listener(handler.handle(whole, response));
      return response;
    } catch (RuntimeException e) {
      // The handler may have sent it before.
      return failInside(response, e, Refusal.mayHaveRun(Reason.INTERNAL, FAILED_INSIDE));
    }
  }
}
