package org.vaneworks.testlib;

import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.http.api.HttpServerContext;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.vaneworks.coordination.endpoints.EndpointStatus;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.protocol.EngineJson;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.HostPort;
import org.vaneworks.testlib.StandInServer.Call;
import org.vaneworks.testlib.StandInServer.Reply;

/** Serves a simulated plain service over HTTP. */
public final class ServiceServer {
  private final ServiceCore core;
  private final Endpoint endpoint;

  private ServiceServer(ServiceCore core, Endpoint endpoint) {
    this.core = core;
    this.endpoint = endpoint;
  }

  /**
   * Starts a server.
   *
   * @param factory creates the endpoint for the address that the server is bound to
   */
  public static HttpServerContext listen(
      HostPort address, Executor executor, ServiceCore core, Function<HostPort, Endpoint> factory)
      throws Exception {
    return StandInServer.listenWithBoundAddress(
        address,
        executor,
        boundAddress -> new ServiceServer(core, factory.apply(boundAddress))::handle);
  }

  private CompletableFuture<Reply> handle(Call call) {
    if (call.path().equals(EngineJson.STATUS_PATH)) {
      return Reply.ok(EngineJson.writeStatus(new EndpointStatus(endpoint, false, 0, 0, 0)));
    }
    if (call.path().equals("/ledger")) {
      var node = Json.object();
      core.runs().forEach(node::put);
      return Reply.ok(Json.write(node));
    }
    String path = call.path().substring(EngineJson.CALL_PATH.length());
    ServiceReply reply = core.run(new ServiceCall(call.method(), path, call.body(), ""));
    return Reply.of(reply.status(), reply.body());
  }
}
