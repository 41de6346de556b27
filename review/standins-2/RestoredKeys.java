import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The store comes back from a copy that is older than a revocation, while one node restarts. */
final class RestoredKeys {
  private static final int REVOKE_MS = 5000;
  private static final int ROUNDS = Integer.getInteger("rounds", 2);

  private RestoredKeys() {}

  private static String configuration(int version, String keys) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-first\",\"host\":"
        + "\"ficu95.example\",\"pathPrefix\":\"/first/\",\"kind\":\"safe\",\"timeoutMs\":800,"
        + "\"sloMs\":300,\"prio\":2,\"service\":\"api-0\",\"attempts\":2,\"public\":false,"
        + "\"sticky\":false}],\"services\":[{\"name\":\"api-0\",\"healthPath\":\"/health\","
        + "\"maxConns\":110,\"proto\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[" + keys + "],\"prio\":1}]}";
  }

  public static void main(String[] args) throws Exception {
    Bench2 bench = new Bench2();
    Set<String> ran = ConcurrentHashMap.newKeySet();
    Replica2 replica =
        new Replica2(bench, "i-a", "api-0", 6) {
          @Override
          void run(Web.Request request, java.util.Map<String, String> headers, Web.Exchange exchange)
              throws java.io.IOException, InterruptedException {
            ran.add(request.header("x-request-id"));
            super.run(request, headers, exchange);
          }
        };
    String kept = "\"n2ctnfzs989anu6wsjnb\"";
    int version = 1;
    bench.store.put("op/config", configuration(version, kept + ",\"anfqasnmgkcuyj8pjbvk1\""));
    for (int i = 0; i < 4; i++) {
      bench.startNode();
    }
    bench.awaitReady();
    Thread.sleep(4000);
    int broken = 0;
    int sent = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      String key = "anfqasnmgkcuyj8pjbvk" + round;
      bench.store.copy();
      Thread.sleep(200);
      String newest = configuration(++version, kept);
      bench.store.put("op/config", newest);
      long acknowledged = System.nanoTime();
      bench.say("version " + version + " is acknowledged and takes key " + round + " away");
      Thread.sleep(3800);
      Bench2.Node node = bench.nodes.get(round % 4);
      if (bench.trouble) {
        bench.store.goAway();
        bench.say("the store is away");
      }
      node.process.destroyForcibly();
      node.process.waitFor();
      Thread.sleep(1000);
      if (bench.trouble) {
        bench.store.returnFromCopy();
        replica.register("ready");
        bench.say("the store is back from its copy");
      }
      node.start();
      long back = System.nanoTime();
      boolean rewritten = false;
      while (System.nanoTime() - back < 6_000_000_000L) {
        if (bench.trouble && !rewritten && System.nanoTime() - back > 2_000_000_000L) {
          rewritten = true;
          bench.store.put("op/config", newest);
          bench.say("the operator has written its configuration again");
        }
        String id = "q" + ++sent;
        long after = System.nanoTime() - acknowledged;
        Web.Answer answer =
            Web.call(node.host, node.port, "GET", "/first/" + id,
                "Host: ficu95.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 800\r\n"
                    + "Authorization: Token " + key + "\r\n", "", 2000);
        boolean late = ran.contains(id) && after > REVOKE_MS * 1_000_000L;
        broken += late ? 1 : 0;
        bench.say(String.format("%s sent to %s %.2f s after the ack: %d%s", id, node.name,
            after / 1e9, answer.status(), late ? " RUN WITH THE REVOKED KEY" : ""));
        Thread.sleep(20);
      }
      bench.store.put(
          "op/config",
          configuration(++version, kept + ",\"anfqasnmgkcuyj8pjbvk" + (round + 1) + "\""));
      Thread.sleep(3000);
    }
    bench.finish(broken > 0, broken + " of " + sent + " requests ran with a key revoked over "
        + REVOKE_MS + " ms before");
  }
}
