package org.vaneworks.testlib;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpSerializers;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.protocol.EngineJson;
import org.vaneworks.state.HostPort;

/** Serves a stand-in over HTTP. */
final class StandInServer {
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private StandInServer() {}

  /** What a stand-in answers: status and body. */
  record Reply(int status, String body) {
    static CompletableFuture<Reply> ok(String body) {
      return CompletableFuture.completedFuture(new Reply(200, body));
    }

    static CompletableFuture<Reply> of(int status, String body) {
      return CompletableFuture.completedFuture(new Reply(status, body));
    }
  }

  /** A request as stand-ins see it. */
  record Call(String method, String path, String query, String body) {
    /** Returns a query parameter, empty if it is absent. */
    String parameter(String name) {
      for (String pair : query.split("&", -1)) {
        if (pair.startsWith(name + "=")) {
          return URLDecoder.decode(pair.substring(name.length() + 1), UTF_8);
        }
      }
      return "";
    }
  }

  static HttpServerContext listen(
      HostPort address, Executor executor, Function<Call, CompletableFuture<Reply>> handler)
      throws Exception {
    return HttpServers.forAddress(new InetSocketAddress(address.host(), address.port()))
        .executor(executor)
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .listenAndAwait((context, request, responses) -> answer(request, responses, handler));
  }

  /**
   * Listens for a stand-in that must know its own address, port 0 or not, before it is made.
   *
   * @param maker makes the stand-in's handler for the address that it got
   */
  static HttpServerContext listenAs(
      HostPort address,
      Executor executor,
      Function<HostPort, Function<Call, CompletableFuture<Reply>>> maker)
      throws Exception {
    CompletableFuture<Function<Call, CompletableFuture<Reply>>> made = new CompletableFuture<>();
    HttpServerContext server =
        listen(address, executor, call -> made.thenCompose(handler -> handler.apply(call)));
    made.complete(maker.apply(addressOf(server)));
    return server;
  }

  /** Returns where a server listens. */
  static HostPort addressOf(HttpServerContext server) {
    InetSocketAddress address = (InetSocketAddress) server.listenAddress();
    return new HostPort(address.getAddress().getHostAddress(), address.getPort());
  }

  private static Single<HttpResponse> answer(
      HttpRequest request,
      HttpResponseFactory responses,
      Function<Call, CompletableFuture<Reply>> handler) {
    Call call =
        new Call(
            request.method().name(),
            request.path(),
            request.rawQuery() == null ? "" : request.rawQuery(),
            request.payloadBody().toString(UTF_8));
    CompletableFuture<Reply> reply;
    try {
      reply = handler.apply(call);
    } catch (RuntimeException e) {
      reply = CompletableFuture.failedFuture(e);
    }
    return Single.fromStage(reply)
        .map(done -> response(responses, done))
        .onErrorReturn(failure -> refused(responses, Async.causeOf(failure)));
  }

  private static HttpResponse response(HttpResponseFactory responses, Reply reply) {
    HttpResponse response = responses.newResponse(HttpResponseStatus.of(reply.status(), ""));
    response.payloadBody(reply.body(), HttpSerializers.textSerializerUtf8());
    response.setHeader(HttpHeaderNames.CONTENT_TYPE, "application/json");
    return response;
  }

  private static HttpResponse refused(HttpResponseFactory responses, Throwable failure) {
    if (!(failure instanceof EngineRefusal refusal)) {
      return response(responses, new Reply(500, String.valueOf(failure)));
    }
    boolean overloaded = refusal.code().equals(EngineJson.OVERLOADED);
    HttpResponse response = response(responses, new Reply(overloaded ? UNAVAILABLE : CONFLICT, ""));
    response.setHeader(EngineJson.REFUSED_HEADER, refusal.code());
    return response;
  }
}
