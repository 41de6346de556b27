package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.Channel;
import io.netty.handler.codec.DecoderException;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpServerBuilder;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.vaneworks.coordination.forwarding.CallerRequest;
import org.vaneworks.coordination.forwarding.CallerResponse;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.telemetry.Counters;

/** Listens to callers whose requests are forwarded, and answers the balancer's readiness check. */
public final class EntryServer {
  /** Takes requests whose body has been read. */
  @FunctionalInterface
  public interface Service {
    /** Takes a request; the result is told of the caller from then on. */
    CallerResponse.Listener take(CallerRequest request, CallerResponse answer);
  }

  /** Colon, space and line end of a header. */
  private static final int HEADER_MARKS = 4;

  /** The text form that Prometheus reads. */
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final Service service;
  private final HeaderDialect dialect;
  private final Supplier<EntryLimits> limits;
  private final CallerConnections connections;
  private final Counters counters;
  private final BooleanSupplier closing;

  private EntryServer(
      Service service,
      HeaderDialect dialect,
      Supplier<EntryLimits> limits,
      BooleanSupplier closing,
      CallerConnections connections,
      Counters counters) {
    this.connections = checkNotNull(connections);
    this.counters = checkNotNull(counters);
    this.service = checkNotNull(service);
    this.dialect = checkNotNull(dialect);
    this.limits = checkNotNull(limits);
    this.closing = checkNotNull(closing);
  }

  /**
   * Listens to callers.
   *
   * @param io the node's event loop; everything runs on it
   * @param maxHeaderBytes longest start line, and longest header field
   * @param limits bounds on what callers may send, at the time of a request
   * @param closing whether connections are to be closed after their next answer
   * @param connections is told of callers' connections
   */
  public static HttpServerContext listen(
      HostPort address,
      IoExecutor io,
      Service service,
      HeaderDialect dialect,
      int maxHeaderBytes,
      Supplier<EntryLimits> limits,
      BooleanSupplier closing,
      CallerConnections connections,
      Counters counters)
      throws Exception {
    EntryServer server = new EntryServer(service, dialect, limits, closing, connections, counters);
    return onTheLoop(address, io)
        .protocols(
            HttpProtocolConfigs.h1()
                .maxStartLineLength(maxHeaderBytes)
                .maxHeaderFieldLength(maxHeaderBytes)
                .build())
        .appendLateConnectionAcceptor(DelegatingLateAcceptor.onTheLoop(server::accept))
        .listenStreamingAndAwait(server::handle);
  }

  private Completable accept(ConnectionInfo connection) {
    CallerConnection.install(
        ((NettyConnectionContext) connection).nettyChannel(), limits, counters, connections);
    return Completable.completed();
  }

  /** Listens to the balancer's readiness check; any path is answered. */
  public static HttpServerContext listenReadiness(
      HostPort address, IoExecutor io, BooleanSupplier ready) throws Exception {
    return onTheLoop(address, io)
        .listenStreamingAndAwait(
            (context, request, factory) ->
                Single.succeeded(
                    ready.getAsBoolean() ? factory.ok() : factory.serviceUnavailable()));
  }

  /** Listens to readers of the node's own figures; any path is answered with the text. */
  public static HttpServerContext listenMetrics(
      HostPort address, IoExecutor io, Supplier<String> metrics) throws Exception {
    return onTheLoop(address, io)
        .listenStreamingAndAwait(
            (context, request, factory) ->
                Single.succeeded(
                    factory
                        .ok()
                        .setHeader(HttpHeaderNames.CONTENT_TYPE, METRICS_TYPE)
                        .payloadBody(
                            Publisher.from(
                                context
                                    .executionContext()
                                    .bufferAllocator()
                                    .fromUtf8(metrics.get())))));
  }

  private static HttpServerBuilder onTheLoop(HostPort address, IoExecutor io) {
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
    EntryAnswer answer =
        new EntryAnswer(factory, context.executionContext().bufferAllocator(), closing, connection);
    connection.requestBegan(answer);
    Optional<String> id = dialect.requestId(request.headers());
    if (id.isEmpty()) {
      return answer.refused(Reason.INVALID_HEADER, "the request has no id");
    }
    if (bytesOf(request.headers()) > limits.get().maxHeaderBytes()) {
      return answer.refusedForGood(Reason.HEADERS_TOO_LARGE, "all headers together");
    }
    return request
        .payloadBody()
        .collect(
            () ->
                new BodyCollector(
                    context.executionContext().bufferAllocator(), limits.get().maxBodyBytes()),
            BodyCollector::add)
        .flatMap(body -> forward(request, body, answer, id.get()))
        .onErrorResume(
            DecoderException.class,
            failure -> answer.refusedForGood(Reason.MALFORMED_HTTP, failure.getMessage()));
  }

  private static long bytesOf(HttpHeaders headers) {
    long bytes = 0;
    for (Map.Entry<CharSequence, CharSequence> header : headers) {
      bytes += header.getKey().length() + header.getValue().length() + HEADER_MARKS;
    }
    return bytes;
  }

  private Single<StreamingHttpResponse> forward(
      StreamingHttpRequest request, BodyCollector collected, EntryAnswer answer, String id) {
    if (collected.overLimit()) {
      return answer.refusedForGood(
          Reason.BODY_TOO_LARGE, "allowed: " + limits.get().maxBodyBytes());
    }
    answer.flow(service.take(new EntryRequest(request, collected.body(), dialect, id), answer));
    return answer.response();
  }
}
