package org.vaneworks.testlib;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.http.api.HttpServerContext;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.vaneworks.protocol.EngineJson;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.HostPort;
import org.vaneworks.testlib.StandInServer.Call;
import org.vaneworks.testlib.StandInServer.Reply;

/** Serves a simulated engine over HTTP. */
public final class EngineServer {
  private static final int NOT_FOUND = 404;

  private final EngineCore core;

  private EngineServer(EngineCore core) {
    this.core = core;
  }

  /**
   * Starts a server.
   *
   * @param factory creates the engine for the address that the server is bound to
   */
  public static HttpServerContext listen(
      HostPort address, Executor executor, Function<HostPort, EngineCore> factory)
      throws Exception {
    return StandInServer.listenWithBoundAddress(
        address, executor, boundAddress -> new EngineServer(factory.apply(boundAddress))::handle);
  }

  private CompletableFuture<Reply> handle(Call call) {
    return switch (call.path()) {
      case EngineJson.STATUS_PATH -> Reply.ok(EngineJson.writeStatus(core.status()));
      case EngineJson.STEP_PATH ->
          core.step(EngineJson.readStep(call.body()))
              .thenApply(reply -> new Reply(200, EngineJson.writeReply(reply)));
      case EngineJson.END_PATH -> {
        core.end(EngineJson.readSession(call.body()));
        yield Reply.ok("");
      }
      case EngineJson.EXPORT_PATH ->
          Reply.ok(EngineJson.writeExport(core.exportSession(EngineJson.readSession(call.body()))));
      case EngineJson.IMPORT_PATH -> importSession(call);
      case "/leave" -> {
        core.markLeaving();
        yield Reply.ok("");
      }
      case "/ledger" -> Reply.ok(Json.write(ledger()));
      default -> Reply.of(NOT_FOUND, "");
    };
  }

  private CompletableFuture<Reply> importSession(Call call) {
    JsonNode node = Json.parse(call.body());
    core.importSession(EngineJson.readImportTarget(node), EngineJson.readImportSource(node));
    return Reply.ok("");
  }

  private JsonNode ledger() {
    ArrayNode runs = Json.list();
    for (LedgerEntry entry : core.ledger()) {
      runs.add(
          EngineJson.writeSession(entry.session())
              .put("step", entry.step())
              .put("rebuilt", entry.rebuilt()));
    }
    return Json.object().set("runs", runs);
  }
}
