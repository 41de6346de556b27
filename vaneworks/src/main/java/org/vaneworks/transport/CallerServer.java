package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.primitives.Ints;
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
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.vaneworks.coordination.Lifecycle.Phase;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.protocol.CallerJson;
import org.vaneworks.protocol.InvalidFieldException;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/** The callers' HTTP interface; docs/OPERATIONS.md describes it. */
public final class CallerServer {
  private static final String TICKETS_PATH = "/v1/tickets";
  private static final int MAX_TICKETS = 1000;
  private static final String JSON = "application/json";
  private static final String TEXT = "text/plain; charset=utf-8";

  private final Node node;
  private final Executor executor;
  private final int maxBodyBytes;
  private final Supplier<String> metrics;

  private CallerServer(Node node, Executor executor, int maxBodyBytes, Supplier<String> metrics) {
    this.node = checkNotNull(node);
    this.executor = checkNotNull(executor);
    this.maxBodyBytes = maxBodyBytes;
    this.metrics = checkNotNull(metrics);
  }

  /**
   * Listens.
   *
   * @param maxBodyBytes longest body that is read
   * @param metrics text of {@code /metrics}
   */
  public static HttpServerContext listen(
      HostPort address, Node node, Executor executor, int maxBodyBytes, Supplier<String> metrics)
      throws Exception {
    CallerServer server = new CallerServer(node, executor, maxBodyBytes, metrics);
    return HttpServers.forAddress(new InetSocketAddress(address.host(), address.port()))
        .executor(executor)
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .drainRequestPayloadBody(true)
        .listenStreamingAndAwait(server::handle);
  }

  private Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses) {
    CallerResponses answers = new CallerResponses(responses, context, () -> isStopping());
    try {
      return route(request, answers).onErrorResume(failure -> failed(request, answers, failure));
    } catch (RuntimeException e) {
      return failed(request, answers, e);
    }
  }

  private boolean isStopping() {
    return node.phase().compareTo(Phase.LEAVING) >= 0;
  }

  private Single<StreamingHttpResponse> failed(
      StreamingHttpRequest request, CallerResponses answers, Throwable failure) {
    Refusal refusal = refusalOf(failure);
    node.dispatcher().count(refusal);
    StreamingHttpResponse response = answers.problem(refusal);
    if (refusal.reason() == Reason.METHOD_NOT_ALLOWED) {
      response.setHeader(HttpHeaderNames.ALLOW, allowedAt(request.path()).name());
    }
    return Single.succeeded(response);
  }

  /** Failures that the gate reported were counted there; only the transport's own come here. */
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
      StreamingHttpRequest request, CallerResponses answers) {
    List<String> path = Splitter.on('/').omitEmptyStrings().splitToList(request.path());
    if (path.size() == 4 && isWorkspacePath(path) && path.get(3).equals("completions")) {
      return completion(path.get(2), request, answers);
    }
    if (path.size() >= 5 && isWorkspacePath(path) && path.get(3).equals("services")) {
      return service(path, request, answers);
    }
    return switch (request.path()) {
      case TICKETS_PATH -> tickets(request, answers);
      case "/health/live" -> text(request, answers, HttpResponseStatus.OK, "live\n");
      case "/health/ready" -> readiness(request, answers);
      case "/metrics" -> text(request, answers, HttpResponseStatus.OK, metrics.get());
      case "/status" -> status(request, answers);
      default -> throw Refusal.nothingSent(Reason.UNKNOWN_PATH, request.path()).toException();
    };
  }

  private static boolean isWorkspacePath(List<String> path) {
    return path.get(0).equals("v1") && path.get(1).equals("workspaces");
  }

  private Single<StreamingHttpResponse> completion(
      String workspace, StreamingHttpRequest request, CallerResponses answers) {
    checkMethod(request);
    requireJson(request);
    CallerOptions options = CallerHeaders.read(request.headers());
    return body(request)
        .flatMap(
            text -> {
              CallerJson.ParsedCompletion parsed = CallerJson.readCompletion(text);
              CompletionAnswer answer = new CompletionAnswer(answers, parsed.stream());
              Runnable cancel =
                  node.dispatcher().complete(workspace, parsed.body(), options, answer);
              return answer.response(cancel);
            });
  }

  private Single<StreamingHttpResponse> service(
      List<String> path, StreamingHttpRequest request, CallerResponses answers) {
    CallerOptions options = CallerHeaders.read(request.headers());
    String prefix = "/v1/workspaces/" + path.get(2) + "/services/" + path.get(4);
    String rest = request.requestTarget().substring(prefix.length());
    String target = rest.startsWith("/") ? rest : "/" + rest;
    return body(request)
        .flatMap(
            text -> {
              ServiceCall call =
                  new ServiceCall(request.method().name(), target, text, answers.requestId());
              CompletableFuture<ServiceReply> reply =
                  node.dispatcher().call(path.get(2), path.get(4), call, options);
              return Single.fromStage(reply).map(answers::relayed).onErrorReturn(answers::counted);
            });
  }

  private Single<StreamingHttpResponse> tickets(
      StreamingHttpRequest request, CallerResponses answers) {
    checkMethod(request);
    return Single.fromStage(node.dispatcher().tickets(ticketCount(request)))
        .map(
            tickets -> answers.plain(HttpResponseStatus.OK, JSON, CallerJson.writeTickets(tickets)))
        .onErrorReturn(answers::counted);
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
      StreamingHttpRequest request, CallerResponses answers) {
    boolean ready = node.phase() == Phase.READY;
    HttpResponseStatus status =
        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    return text(request, answers, status, node.phase() + "\n");
  }

  private Single<StreamingHttpResponse> status(
      StreamingHttpRequest request, CallerResponses answers) {
    checkMethod(request);
    return Single.succeeded(answers.plain(HttpResponseStatus.OK, JSON, NodeStatusJson.write(node)));
  }

  private static Single<StreamingHttpResponse> text(
      StreamingHttpRequest request,
      CallerResponses answers,
      HttpResponseStatus status,
      String body) {
    checkMethod(request);
    return Single.succeeded(answers.plain(status, TEXT, body));
  }

  private static HttpRequestMethod allowedAt(String path) {
    boolean takesPosts = path.endsWith("/completions") || path.equals(TICKETS_PATH);
    return takesPosts ? HttpRequestMethod.POST : HttpRequestMethod.GET;
  }

  private static void checkMethod(StreamingHttpRequest request) {
    HttpRequestMethod allowed = allowedAt(request.path());
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

  /** Reads the body up to its bound; the answer's work goes on in the worker pool. */
  private Single<String> body(StreamingHttpRequest request) {
    return request
        .payloadBody()
        .collect(() -> BoundedBody.of(maxBodyBytes), BoundedBody::add)
        .map(BoundedBody::text)
        .publishOn(executor);
  }
}
