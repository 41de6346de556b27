package org.vaneworks.testlib;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.http.api.HttpServerContext;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.coordination.store.StoreEntry;
import org.vaneworks.coordination.store.StorePurpose;
import org.vaneworks.protocol.FieldReader;
import org.vaneworks.protocol.Json;
import org.vaneworks.protocol.PlatformJson;
import org.vaneworks.state.HostPort;
import org.vaneworks.testlib.StandInServer.Call;
import org.vaneworks.testlib.StandInServer.Reply;

/** Serves the platform's store and box list over HTTP. */
public final class PlatformServer {
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final StoreCore store;
  private final BoxListCore boxes;

  private PlatformServer(StoreCore store, BoxListCore boxes) {
    this.store = store;
    this.boxes = boxes;
  }

  /** Starts a server. */
  public static HttpServerContext listen(
      HostPort address, Executor executor, StoreCore store, BoxListCore boxes) throws Exception {
    PlatformServer server = new PlatformServer(store, boxes);
    return StandInServer.listen(address, executor, server::handle);
  }

  private CompletableFuture<Reply> handle(Call call) {
    return switch (call.method() + " " + call.path()) {
      case "GET " + PlatformJson.READ_PATH ->
          store
              .read(call.parameter("key"), StorePurpose.HEAD)
              .thenApply(entry -> entryReply(entry, NOT_FOUND));
      case "GET " + PlatformJson.WATCH_PATH -> watch(call);
      case "POST " + PlatformJson.SWAP_PATH -> swap(call);
      case "GET " + PlatformJson.BOXES_PATH -> boxes.boxes().thenApply(PlatformServer::listReply);
      case "POST " + PlatformJson.BOXES_PATH -> putBox(call);
      case "POST /fault" -> fault(call);
      case "GET /calls" -> Reply.ok(Json.write(callsNode()));
      default -> Reply.of(NOT_FOUND, "");
    };
  }

  private static Reply entryReply(Optional<StoreEntry> entry, int statusIfAbsent) {
    return entry
        .map(found -> new Reply(200, PlatformJson.writeEntry(found)))
        .orElseGet(() -> new Reply(statusIfAbsent, ""));
  }

  private CompletableFuture<Reply> watch(Call call) {
    Duration wait = Duration.ofMillis(Long.parseLong(call.parameter("waitMs")));
    return store
        .watch(call.parameter("key"), Long.parseLong(call.parameter("after")), wait)
        .thenApply(entry -> entryReply(entry, NO_CONTENT));
  }

  private CompletableFuture<Reply> swap(Call call) {
    FieldReader fields = FieldReader.of("", Json.parse(call.body()));
    return store
        .compareAndSwap(
            fields.text("key"),
            fields.longInteger("expected", 0, Long.MAX_VALUE),
            fields.text("value", ""),
            StorePurpose.CHANGE)
        .thenApply(
            revision ->
                revision
                    .map(r -> new Reply(200, Json.write(Json.object().put("revision", r))))
                    .orElseGet(() -> new Reply(CONFLICT, "")));
  }

  private static Reply listReply(Iterable<Box> list) {
    return new Reply(200, PlatformJson.writeBoxes(list));
  }

  private CompletableFuture<Reply> putBox(Call call) {
    boxes.put(PlatformJson.readBox(FieldReader.of("", Json.parse(call.body()))));
    return Reply.ok("");
  }

  private CompletableFuture<Reply> fault(Call call) {
    FieldReader fields = FieldReader.of("", Json.parse(call.body()));
    store.setDown(fields.bool("down", false));
    store.delayAnswers(Duration.ofMillis(fields.integer("slowMs", 0, 60_000, 0)));
    store.loseAnswers(fields.integer("loseAnswers", 0, 1000, 0));
    return Reply.ok("");
  }

  private ObjectNode callsNode() {
    var node = Json.object();
    store.calls().forEach(node::put);
    return node;
  }
}
