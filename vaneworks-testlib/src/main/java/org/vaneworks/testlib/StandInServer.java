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

/** Serves a stand-in for an external system over HTTP. */
final class StandInServer {
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private StandInServer() {}

  /** The status and body of a response. */
  record Reply(int status, String body) {
    static CompletableFuture<Reply> ok(String body) {
      return CompletableFuture.completedFuture(new Reply(200, body));
    }

    static CompletableFuture<Reply> of(int status, String body) {
      return CompletableFuture.completedFuture(new Reply(status, body));
    }
  }

  /** A received request. */
  record Call(String method, String path, String query, String body) {
    /** Returns a query parameter, or an empty string if it is absent. */
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
   * Starts a server whose handler depends on the address that the server is bound to, which is
   * unknown beforehand if the port is 0. Requests wait until the handler exists.
   *
   * @param factory creates the handler for the bound address
   */
  static HttpServerContext listenWithBoundAddress(
      HostPort address,
      Executor executor,
      Function<HostPort, Function<Call, CompletableFuture<Reply>>> factory)
      throws Exception {
    CompletableFuture<Function<Call, CompletableFuture<Reply>>> handlerFuture =
        new CompletableFuture<>();
    HttpServerContext server =
        listen(
            address, executor, call -> handlerFuture.thenCompose(handler -> handler.apply(call)));
    handlerFuture.complete(factory.apply(addressOf(server)));
    return server;
  }

  /** Returns the address that a server is bound to. */
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
        .map(completed -> response(responses, completed))
        .onErrorReturn(failure -> errorResponse(responses, Async.causeOf(failure)));
  }

  private static HttpResponse response(HttpResponseFactory responses, Reply reply) {
    HttpResponse response = responses.newResponse(HttpResponseStatus.of(reply.status(), ""));
    response.payloadBody(reply.body(), HttpSerializers.textSerializerUtf8());
    response.setHeader(HttpHeaderNames.CONTENT_TYPE, "application/json");
    return response;
  }

  private static HttpResponse errorResponse(HttpResponseFactory responses, Throwable failure) {
    if (!(failure instanceof EngineRefusal refusal)) {
      return response(responses, new Reply(500, String.valueOf(failure)));
    }
    boolean overloaded = refusal.code().equals(EngineJson.OVERLOADED);
    HttpResponse response = response(responses, new Reply(overloaded ? UNAVAILABLE : CONFLICT, ""));
    response.setHeader(EngineJson.REFUSED_HEADER, refusal.code());
    return response;
  }
}
