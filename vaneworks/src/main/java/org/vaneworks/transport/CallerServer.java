package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.primitives.Ints;
import io.netty.channel.Channel;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;
import org.vaneworks.coordination.Lifecycle.Phase;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.protocol.CallerJson;
import org.vaneworks.protocol.InvalidFieldException;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/** HTTP server for callers; docs/OPERATIONS.md describes its API. */
public final class CallerServer {
  private static final String TICKETS_PATH = "/v1/tickets";
  private static final int MAX_TICKETS = 1000;
  private static final String JSON = "application/json";
  private static final String TEXT = "text/plain; charset=utf-8";

  private final Node node;
  private final Executor executor;
  private final int maxBodyBytes;
  private final Supplier<String> metrics;
  private final ResponseDeliveries deliveries;

  private CallerServer(
      Node node,
      Executor executor,
      int maxBodyBytes,
      Supplier<String> metrics,
      ResponseDeliveries deliveries) {
    this.node = checkNotNull(node);
    this.executor = checkNotNull(executor);
    this.maxBodyBytes = maxBodyBytes;
    this.metrics = checkNotNull(metrics);
    this.deliveries = checkNotNull(deliveries);
  }

  /**
   * Starts the server.
   *
   * @param maxBodyBytes maximum size of a request body
   * @param metrics returns the text served at {@code /metrics}
   * @param deliveries keeps track of the answers to callers
   */
  public static HttpServerContext listen(
      HostPort address,
      Node node,
      Executor executor,
      int maxBodyBytes,
      Supplier<String> metrics,
      ResponseDeliveries deliveries)
      throws Exception {
    CallerServer server = new CallerServer(node, executor, maxBodyBytes, metrics, deliveries);
    return HttpServers.forAddress(new InetSocketAddress(address.host(), address.port()))
        .executor(executor)
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .drainRequestPayloadBody(true)
        .listenStreamingAndAwait(server::handle);
  }

  private Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory factory) {
    CallerResponses responses = new CallerResponses(factory, context, () -> isStopping());
    try {
      return route(context, request, responses)
          .onErrorResume(failure -> handleFailure(request, responses, failure));
    } catch (RuntimeException e) {
      return handleFailure(request, responses, e);
    }
  }

  private boolean isStopping() {
    return node.phase().compareTo(Phase.LEAVING) >= 0;
  }

  private Single<StreamingHttpResponse> handleFailure(
      StreamingHttpRequest request, CallerResponses responses, Throwable failure) {
    Refusal refusal = refusalOf(failure);
    node.dispatcher().count(refusal);
    StreamingHttpResponse response = responses.problem(refusal);
    if (refusal.reason() == Reason.METHOD_NOT_ALLOWED) {
      response.setHeader(HttpHeaderNames.ALLOW, allowedMethod(request.path()).name());
    }
    return Single.succeeded(response);
  }

  /**
   * Converts a failure that occurred in the transport; failures in request dispatch are counted
   * there and don't get here.
   */
  private static Refusal refusalOf(Throwable failure) {
    if (failure instanceof InvalidFieldException invalid) {
      Reason reason =
          invalid.field().equals("document") ? Reason.MALFORMED_BODY : Reason.INVALID_FIELD;
      return Refusal.nothingSent(reason, invalid.getMessage());
    }
    if (!(failure instanceof RefusalException)) {
      EventLog.error(Event.REQUEST_FAILED_INSIDE, failure);
    }
    return RefusalException.refusalOf(failure);
  }

  private Single<StreamingHttpResponse> route(
      HttpServiceContext context, StreamingHttpRequest request, CallerResponses responses) {
    Channel channel = ((NettyConnectionContext) context).nettyChannel();
    List<String> path = Splitter.on('/').omitEmptyStrings().splitToList(request.path());
    if (path.size() == 4 && isWorkspacePath(path) && path.get(3).equals("completions")) {
      return completion(path.get(2), channel, request, responses);
    }
    if (path.size() >= 5 && isWorkspacePath(path) && path.get(3).equals("services")) {
      return service(path, channel, request, responses);
    }
    return switch (request.path()) {
      case TICKETS_PATH -> tickets(request, responses);
      case "/health/live" -> text(request, responses, HttpResponseStatus.OK, "live\n");
      case "/health/ready" -> readiness(request, responses);
      case "/metrics" -> text(request, responses, HttpResponseStatus.OK, metrics.get());
      case "/status" -> status(request, responses);
      default -> throw Refusal.nothingSent(Reason.UNKNOWN_PATH, request.path()).toException();
    };
  }

  private static boolean isWorkspacePath(List<String> path) {
    return path.get(0).equals("v1") && path.get(1).equals("workspaces");
  }

  private Single<StreamingHttpResponse> completion(
      String workspace, Channel channel, StreamingHttpRequest request, CallerResponses responses) {
    checkMethod(request);
    requireJson(request);
    CallerOptions options = CallerHeaders.read(request.headers());
    return body(request)
        .flatMap(
            text -> {
              CallerJson.ParsedCompletion parsed = CallerJson.readCompletion(text);
              CompletionResponse response = new CompletionResponse(responses, parsed.stream());
              Single<StreamingHttpResponse> answer =
                  Single.defer(
                      () ->
                          response.response(
                              node.dispatcher()
                                  .complete(workspace, parsed.body(), options, response)));
              return deliveries.track(channel, answer);
            });
  }

  private Single<StreamingHttpResponse> service(
      List<String> path, Channel channel, StreamingHttpRequest request, CallerResponses responses) {
    CallerOptions options = CallerHeaders.read(request.headers());
    String prefix = "/v1/workspaces/" + path.get(2) + "/services/" + path.get(4);
    String rest = request.requestTarget().substring(prefix.length());
    String target = rest.startsWith("/") ? rest : "/" + rest;
    return body(request)
        .flatMap(
            text -> {
              ServiceCall call =
                  new ServiceCall(request.method().name(), target, text, responses.requestId());
              Single<StreamingHttpResponse> answer =
                  Single.defer(
                          () ->
                              Single.fromStage(
                                  node.dispatcher().call(path.get(2), path.get(4), call, options)))
                      .map(responses::serviceReply)
                      .onErrorReturn(responses::alreadyCounted);
              return deliveries.track(channel, answer);
            });
  }

  private Single<StreamingHttpResponse> tickets(
      StreamingHttpRequest request, CallerResponses responses) {
    checkMethod(request);
    return Single.fromStage(node.dispatcher().tickets(ticketCount(request)))
        .map(
            tickets ->
                responses.withBody(HttpResponseStatus.OK, JSON, CallerJson.writeTickets(tickets)))
        .onErrorReturn(responses::alreadyCounted);
  }

  private static int ticketCount(StreamingHttpRequest request) {
    String count = request.queryParameter("count");
    if (count == null) {
      return 1;
    }
    Integer parsed = Ints.tryParse(count);
    if (parsed == null || parsed < 1 || parsed > MAX_TICKETS) {
      throw Refusal.nothingSent(
              Reason.INVALID_FIELD, "count: is " + count + ", allowed: 1 to " + MAX_TICKETS)
          .toException();
    }
    return parsed;
  }

  private Single<StreamingHttpResponse> readiness(
      StreamingHttpRequest request, CallerResponses responses) {
    boolean ready = node.phase() == Phase.READY;
    HttpResponseStatus status =
        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    return text(request, responses, status, node.phase() + "\n");
  }

  private Single<StreamingHttpResponse> status(
      StreamingHttpRequest request, CallerResponses responses) {
    checkMethod(request);
    return Single.succeeded(
        responses.withBody(HttpResponseStatus.OK, JSON, NodeStatusJson.write(node)));
  }

  private static Single<StreamingHttpResponse> text(
      StreamingHttpRequest request,
      CallerResponses responses,
      HttpResponseStatus status,
      String body) {
    checkMethod(request);
    return Single.succeeded(responses.withBody(status, TEXT, body));
  }

  private static HttpRequestMethod allowedMethod(String path) {
    boolean requiresPost = path.endsWith("/completions") || path.equals(TICKETS_PATH);
    return requiresPost ? HttpRequestMethod.POST : HttpRequestMethod.GET;
  }

  private static void checkMethod(StreamingHttpRequest request) {
    HttpRequestMethod allowed = allowedMethod(request.path());
    if (!request.method().equals(allowed)) {
      throw Refusal.nothingSent(
              Reason.METHOD_NOT_ALLOWED, request.method().name() + ", allowed: " + allowed.name())
          .toException();
    }
  }

  private static void requireJson(StreamingHttpRequest request) {
    CharSequence type = request.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    if (!type.toString().startsWith(JSON)) {
      throw Refusal.nothingSent(Reason.UNSUPPORTED_MEDIA_TYPE, "content-type is '" + type + "'")
          .toException();
    }
  }

  /** Reads the body up to its maximum size and continues on the worker pool. */
  private Single<String> body(StreamingHttpRequest request) {
    return request
        .payloadBody()
        .collect(() -> BoundedBody.of(maxBodyBytes), BoundedBody::add)
        .map(BoundedBody::text)
        .publishOn(executor);
  }
}
