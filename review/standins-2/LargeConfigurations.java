import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A large configuration changes in quick succession; the last change moves a route. */
final class LargeConfigurations {
  private static final int ROUTES = Integer.getInteger("routes", 3096);
  private static final int GAP_MS = Integer.getInteger("gap", 80);
  private static final int STORM_MS = Integer.getInteger("storm", 800);
  private static final int APPLY_MS = 2000;

  private LargeConfigurations() {}

  private static String route(String name, String path, String service, int timeoutMs) {
    return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"" + path
        + "\",\"kind\":\"safe\",\"timeoutMs\":" + timeoutMs + ",\"sloMs\":300,\"prio\":2,"
        + "\"service\":\"" + service + "\",\"attempts\":2,\"public\":true,\"sticky\":false}";
  }

  private static String configuration(int version, int routes, String service) {
    List<String> all = new ArrayList<>();
    all.add(route("r-first", "/first/", service, 800));
    for (int i = 0; i < routes; i++) {
      all.add(route("r-fi6y" + i, "/pufi" + i + "/", "old-api", 800 + version % 100));
    }
    return "{\"version\":" + version + ",\"routes\":[" + String.join(",", all)
        + "],\"services\":[{\"name\":\"old-api\",\"healthPath\":\"/health\",\"maxConns\":110,"
        + "\"proto\":\"h1\",\"tls\":false},{\"name\":\"new-api\",\"healthPath\":\"/health\","
        + "\"maxConns\":110,\"proto\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  }

  public static void main(String[] args) throws Exception {
    Bench2 bench = new Bench2();
    new Replica2(bench, "i-old1", "old-api", 6);
    new Replica2(bench, "i-new1", "new-api", 6);
    int routes = ROUTES;
    bench.store.put("op/config", configuration(1, routes, "old-api"));
    bench.say("configuration has " + configuration(1, routes, "old-api").length() + " bytes");
    for (int i = 0; i < 3; i++) {
      bench.startNode();
    }
    bench.awaitReady();
    Thread.sleep(2000);
    int version = 1;
    long end = System.nanoTime() + STORM_MS * 1_000_000L;
    while (bench.trouble && System.nanoTime() < end) {
      bench.store.put("op/config", configuration(++version, routes, "old-api"));
      Thread.sleep(GAP_MS);
    }
    bench.store.put("op/config", configuration(++version, routes, "new-api"));
    long acknowledged = System.nanoTime();
    bench.say("version " + version + " is acknowledged");
    Map<String, Integer> late = new ConcurrentHashMap<>();
    int sent = 0;
    int refused = 0;
    while (System.nanoTime() - acknowledged < 25_000_000_000L) {
      for (Bench2.Node node : bench.nodes) {
        String id = "q" + ++sent;
        double after = (System.nanoTime() - acknowledged) / 1e9;
        Web.Answer answer =
            Web.call(node.host, node.port, "GET", "/first/" + id,
                "Host: ficu95.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 800\r\n",
                "", 2000);
        bench.say(String.format("%s sent to %s %.2f s after: %d %s", id, node.name, after,
            answer.status(), answer.body()));
        if (answer.status() != 200) {
          refused++;
        }
        if (after * 1000 > APPLY_MS && answer.body().contains("old-api")) {
          late.merge(node.name, 1, Integer::sum);
        }
      }
      Thread.sleep(60);
    }
    for (Bench2.Node node : bench.nodes) {
      if (!node.process.isAlive()) {
        late.put(node.name + " ended", 1);
      }
    }
    bench.finish(!late.isEmpty(), "old service ran " + late + "; not 200: " + refused + " of " + sent);
  }
}
