import java.io.IOException;
import java.net.ServerSocket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica of a plain service; keeps its entry in the store. */
class Replica2 {
  final Bench2 bench;
  final String id;
  final String service;
  final int slots;
  final ServerSocket socket;
  final AtomicInteger running = new AtomicInteger();
  volatile int workMs = 20;
  private int beats;

  Replica2(Bench2 bench, String id, String service, int slots) throws Exception {
    this.bench = bench;
    this.id = id;
    this.service = service;
    this.slots = slots;
    socket = Web.serve("127.0.0.1", 0, this::handle);
    register("ready");
  }

  synchronized void register(String state) {
    bench.store.put(
        "servers/" + id,
        "{\"service\":\"" + service + "\",\"addr\":\"127.0.0.1:" + socket.getLocalPort()
            + "\",\"zone\":\"buc-a\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\""
            + state + "\",\"coldLeftMs\":0,\"seq\":" + ++beats + "}");
  }

  /** Returns the headers that each answer of the replica has. */
  Map<String, String> headers(Web.Request request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Request-Id", request.header("x-request-id"));
    headers.put("X-Replica-Id", id);
    headers.put("X-Replica-Load", running.get() + ",0," + slots);
    return headers;
  }

  private void handle(Web.Request request, Web.Exchange exchange) throws Exception {
    Map<String, String> headers = headers(request);
    String expected = request.header("x-expect-replica");
    if (request.path().equals("/health")) {
      exchange.answer(200, headers, "");
    } else if (!expected.isEmpty() && !expected.equals(id)) {
      exchange.answer(421, headers, "");
    } else {
      running.incrementAndGet();
      bench.say("run " + request.header("x-request-id") + " at " + id + " of " + service);
      try {
        run(request, headers, exchange);
      } finally {
        running.decrementAndGet();
      }
    }
  }

  /** Runs one request. */
  void run(Web.Request request, Map<String, String> headers, Web.Exchange exchange)
      throws IOException, InterruptedException {
    Thread.sleep(workMs);
    headers.put("X-Replica-Stamp", id + "." + request.header("x-request-id"));
    exchange.answer(200, headers, "answer of " + service + " to " + request.header("x-request-id"));
  }
}
