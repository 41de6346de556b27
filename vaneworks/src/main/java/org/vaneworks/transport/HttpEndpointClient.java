package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.http.api.HttpRequestMethod;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.endpoints.EndpointClient;
import org.vaneworks.coordination.endpoints.EndpointStatus;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.endpoints.SessionExport;
import org.vaneworks.coordination.endpoints.SessionId;
import org.vaneworks.coordination.endpoints.StepCall;
import org.vaneworks.coordination.endpoints.StepReply;
import org.vaneworks.protocol.EngineJson;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.NotRunProof;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.transport.HttpSender.Response;

/** Calls endpoints over HTTP. Thread-safe. */
public final class HttpEndpointClient implements EndpointClient {
  private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration END_TIMEOUT = Duration.ofSeconds(2);

  private final HttpSender sender;
  private final Duration copyTimeout;

  private HttpEndpointClient(HttpSender sender, Duration copyTimeout) {
    this.sender = checkNotNull(sender);
    this.copyTimeout = checkNotNull(copyTimeout);
  }

  /**
   * Returns a client.
   *
   * @param copyTimeout timeout of the calls that copy a session out of or into an engine
   */
  public static HttpEndpointClient create(HttpSender sender, Duration copyTimeout) {
    return new HttpEndpointClient(sender, copyTimeout);
  }

  @Override
  public CompletableFuture<EndpointStatus> status(HostPort address) {
    return Async.compose(
        sender.get(address, EngineJson.STATUS_PATH, STATUS_TIMEOUT),
        (response, failure) -> parse(response, failure, EngineJson::readStatus));
  }

  @Override
  public CompletableFuture<StepReply> step(Endpoint endpoint, StepCall call, Duration timeout) {
    String body = EngineJson.writeStep(call);
    return post(endpoint, EngineJson.STEP_PATH, body, timeout, EngineJson::readReply);
  }

  @Override
  public CompletableFuture<Void> end(Endpoint endpoint, SessionId session) {
    String body = Json.write(EngineJson.writeSession(session));
    return sender
        .post(endpoint.address(), EngineJson.END_PATH, body, END_TIMEOUT)
        .thenAccept(response -> {});
  }

  @Override
  public CompletableFuture<SessionExport> exportSession(Endpoint endpoint, SessionId session) {
    String body = Json.write(EngineJson.writeSession(session));
    return post(endpoint, EngineJson.EXPORT_PATH, body, copyTimeout, EngineJson::readExport);
  }

  @Override
  public CompletableFuture<Void> importSession(
      Endpoint endpoint, SessionId as, SessionExport export) {
    String body = EngineJson.writeImport(as, export);
    return post(endpoint, EngineJson.IMPORT_PATH, body, copyTimeout, text -> null);
  }

  @Override
  public CompletableFuture<ServiceReply> invoke(
      Endpoint endpoint, ServiceCall call, Duration timeout) {
    String target = EngineJson.CALL_PATH + call.path();
    HttpRequestMethod method = HttpRequestMethod.of(call.method(), methodProperties(call.method()));
    return Async.compose(
        sender.send(endpoint.address(), method, target, call.body(), timeout),
        HttpEndpointClient::serviceReply);
  }

  @Override
  public void closeConnections(HostPort address) {
    sender.closeConnections(address);
  }

  private static HttpRequestMethod.Properties methodProperties(String method) {
    return switch (method) {
      case "GET" -> HttpRequestMethod.GET.properties();
      case "HEAD" -> HttpRequestMethod.HEAD.properties();
      case "PUT" -> HttpRequestMethod.PUT.properties();
      case "DELETE" -> HttpRequestMethod.DELETE.properties();
      default -> HttpRequestMethod.POST.properties();
    };
  }

  private <T> CompletableFuture<T> post(
      Endpoint endpoint, String target, String body, Duration timeout, Function<String, T> parser) {
    return Async.compose(
        sender.post(endpoint.address(), target, body, timeout),
        (response, failure) -> parse(response, failure, parser));
  }

  private static <T> CompletableFuture<T> parse(
      Response response, Throwable failure, Function<String, T> parser) {
    if (failure != null) {
      return CompletableFuture.failedFuture(lost(failure).toException());
    }
    if (!response.isSuccess()) {
      return CompletableFuture.failedFuture(refused(response).toException());
    }
    try {
      return CompletableFuture.completedFuture(parser.apply(response.body()));
    } catch (IllegalArgumentException e) {
      return CompletableFuture.failedFuture(
          Refusal.mayHaveRun(Reason.ENDPOINT_LOST, "the answer can't be read: " + e.getMessage())
              .toException());
    }
  }

  /**
   * Passes on a service's response, including error statuses; only a response with the refusal
   * header counts as a refusal.
   */
  private static CompletableFuture<ServiceReply> serviceReply(
      Response response, Throwable failure) {
    if (failure != null) {
      return CompletableFuture.failedFuture(lost(failure).toException());
    }
    if (!response.refusalHeader().isEmpty()) {
      return CompletableFuture.failedFuture(refused(response).toException());
    }
    return CompletableFuture.completedFuture(
        new ServiceReply(
            response.status(), response.contentType(), response.body(), response.endStated()));
  }

  private static Refusal lost(Throwable failure) {
    String detail = String.valueOf(failure);
    return SendFailures.neverSent(failure)
        ? Refusal.notRun(NotRunProof.NEVER_CONNECTED, Reason.ENDPOINT_LOST, detail)
        : Refusal.mayHaveRun(Reason.ENDPOINT_LOST, detail);
  }

  private static Refusal refused(Response response) {
    String detail = "the endpoint answered " + response.status() + " " + response.refusalHeader();
    if (response.refusalHeader().isEmpty()) {
      return Refusal.mayHaveRun(Reason.ENDPOINT_LOST, detail);
    }
    Reason reason =
        response.refusalHeader().equals(EngineJson.OVERLOADED)
            ? Reason.ENDPOINT_OVERLOADED
            : Reason.ENDPOINT_LOST;
    return Refusal.notRun(NotRunProof.ENDPOINT_REFUSED, reason, detail);
  }
}
