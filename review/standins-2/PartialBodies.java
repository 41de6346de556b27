import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A replica of a plain service ends while it writes bodies without a length. */
final class PartialBodies {
  private static final int REQUESTS = 60;
  private static final int LINES = 8;

  private PartialBodies() {}

  /** A replica that writes its bodies in lines as it works, and ends them with its channel. */
  private static final class LineReplica extends Replica2 {
    private final Set<Web.Exchange> open = ConcurrentHashMap.newKeySet();
    private volatile boolean gone;

    LineReplica(Bench2 bench, String id) throws Exception {
      super(bench, id, "api-0", 6);
    }

    int answering() {
      return open.size();
    }

    /** The process ends: its system closes its channels in order, and refuses new ones. */
    void end() throws IOException {
      gone = true;
      socket.close();
      bench.say("the process of " + id + " ends, " + open.size() + " answers in progress");
      for (Web.Exchange exchange : open) {
        exchange.socket.close();
      }
    }

    @Override
    void run(Web.Request request, Map<String, String> headers, Web.Exchange exchange)
        throws IOException, InterruptedException {
      headers.put("X-Replica-Stamp", id + "." + request.header("x-request-id"));
      headers.put("Connection", "close");
      StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      open.add(exchange);
      try {
        exchange.out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 1; i <= LINES && !gone; i++) {
          Thread.sleep(11);
          if (!gone) {
            exchange.out.write(
                ("line " + i + " " + "x".repeat(90) + "\n").getBytes(StandardCharsets.ISO_8859_1));
          }
        }
        if (!gone) {
          exchange.socket.close();
        }
      } finally {
        open.remove(exchange);
      }
    }
  }

  private static String configuration() {
    return "{\"version\":1,\"routes\":[{\"name\":\"r-first\",\"host\":\"ficu95.example\","
        + "\"pathPrefix\":\"/first/\",\"kind\":\"safe\",\"timeoutMs\":800,\"sloMs\":300,\"prio\":2,"
        + "\"service\":\"api-0\",\"attempts\":2,\"public\":true,\"sticky\":false}],\"services\":["
        + "{\"name\":\"api-0\",\"healthPath\":\"/health\",\"maxConns\":110,\"proto\":\"h1\","
        + "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  }

  public static void main(String[] args) throws Exception {
    Bench2 bench = new Bench2();
    bench.store.put("op/config", configuration());
    List<LineReplica> replicas = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      replicas.add(new LineReplica(bench, "i-p" + i));
    }
    bench.startNode();
    bench.startNode();
    bench.awaitReady();
    Thread.sleep(2000);
    Map<String, Web.Answer> answers = new ConcurrentHashMap<>();
    List<Thread> clients = new ArrayList<>();
    boolean ended = !bench.trouble;
    for (int i = 0; i < REQUESTS; i++) {
      String id = "q" + i;
      Bench2.Node node = bench.nodes.get(i % 2);
      bench.say(id + " sent to " + node.name);
      clients.add(
          Web.daemon(
              () ->
                  answers.put(
                      id,
                      Web.call(node.host, node.port, "GET", "/first/" + id,
                          "Host: ficu95.example\r\nX-Request-Id: " + id
                              + "\r\nX-Deadline-Ms: 1500\r\n", "", 2000))));
      Thread.sleep(15);
      LineReplica first = replicas.get(0);
      if (!ended && i > 10 && first.answering() >= 2) {
        ended = true;
        first.end();
      }
    }
    for (Thread client : clients) {
      client.join(3000);
    }
    int part = 0;
    int whole = 0;
    for (Map.Entry<String, Web.Answer> entry : answers.entrySet()) {
      Web.Answer answer = entry.getValue();
      int lines = answer.body().split("\n").length;
      boolean complete = lines == LINES;
      bench.say(entry.getKey() + ": status " + answer.status() + ", " + lines + " of " + LINES
          + " lines, " + answer.headers());
      whole += answer.status() == 200 && complete ? 1 : 0;
      part += answer.status() == 200 && !complete ? 1 : 0;
    }
    bench.finish(part > 0, part + " successes with a part of the body; whole: " + whole);
  }
}
