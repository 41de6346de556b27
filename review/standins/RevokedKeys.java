package review;

import java.util.ArrayList;
import java.util.List;

/** Case: the operator takes away the keys of all tenants. */
public final class RevokedKeys {
  private static final long REVOKE_MS = 5000;

  private record Sent(String id, String key, long afterAckMs) {}

  private RevokedKeys() {}

  private static String configuration(int version, String keysOfWard, String keysOfDepot) {
    return ("{\"version\":%d,\"routes\":[{\"name\":\"lookup\",\"host\":\"a.example\","
            + "\"pathPrefix\":\"/lookup/\",\"kind\":\"safe\",\"timeoutMs\":2000,\"sloMs\":300,"
            + "\"prio\":2,\"service\":\"records\",\"attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"records\",\"healthPath\":\"/health\",\"maxConns\":110,"
            + "\"proto\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"ward\",\"apiKeys\":[%s],\"prio\":1},"
            + "{\"name\":\"depot\",\"apiKeys\":[%s],\"prio\":1}]}")
        .formatted(version, keysOfWard, keysOfDepot);
  }

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    Store store = new Store();
    store.put("op/config", configuration(7, "\"key-ward\"", "\"key-depot\""));
    List<PlainReplica> replicas = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      replicas.add(new PlainReplica(lab, store, "rep" + i, "records", "z1", 6, 60));
    }
    List<Lab.Node> nodes = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      nodes.add(lab.new Node("node" + i, "z1", store.port()));
    }
    for (Lab.Node node : nodes) {
      node.start();
    }
    nodes.forEach(Lab.Node::awaitReady);
    String before = Client.ask(nodes.get(0).front, "/lookup/1", "first", "key-ward");
    String stranger = Client.ask(nodes.get(0).front, "/lookup/1", "first-stranger", "key-nobody");
    lab.log("before: key-ward %s, a key that nobody holds %s", before, stranger);
    if (!before.equals("200") || !stranger.equals("401")) {
      lab.fail("before the change: " + before + " " + stranger);
    }
    Lab.sleep(2000);
    if (Lab.trouble()) {
      store.put("op/config", configuration(9, "", "\"key-depot\""));
      lab.log("operator: version 9 takes away key-ward, acknowledged");
      Lab.sleep(1500);
      store.put("op/config", configuration(12, "", ""));
      lab.log("operator: version 12 takes away key-depot, acknowledged");
    }
    long ackAt = System.nanoTime();
    String[] keys = {"key-ward", "key-depot", "key-nobody"};
    List<Sent> sent = new ArrayList<>();
    for (int n = 0; n < 100; n++) {
      Lab.Node node = nodes.get(n % nodes.size());
      String key = keys[n % keys.length];
      String id = "r" + n;
      long afterAckMs = (System.nanoTime() - ackAt) / 1_000_000;
      String status = Client.ask(node.front, "/lookup/1", id, key);
      lab.log("client: %s to %s with %s, %d ms after the ack: %s", id, node.name, key, afterAckMs, status);
      sent.add(new Sent(id, key, afterAckMs));
      Lab.sleep(60);
    }
    int revoked = 0;
    int strangers = 0;
    for (Sent request : sent) {
      boolean ran = replicas.stream().anyMatch(replica -> replica.runs.containsKey(request.id()));
      boolean neverHeld = request.key().equals("key-nobody");
      if (ran && neverHeld) {
        strangers++;
      } else if (ran && Lab.trouble() && request.afterAckMs() > REVOKE_MS) {
        revoked++;
      }
    }
    lab.log("CONFIG: %d requests sent more than %d ms after the ack ran under a revoked key", revoked, REVOKE_MS);
    lab.log("ROUTE: %d requests ran under a key that no configuration ever held", strangers);
    lab.end(revoked + strangers > 0 ? 1 : 0);
  }
}
