package review;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Case: the operator adds a second model with a route of its own. */
public final class AddedModel {
  /** How long the added route may take to be served before its requests are judged. */
  private static final long GRACE_MS = 25_000;

  private static final long LENGTH_MS = 45_000;

  private AddedModel() {}

  public static void main(String[] args) throws Exception {
    int added = Integer.getInteger("added", 2);
    Lab lab = new Lab(args[0]);
    Store store = new Store();
    String drafts =
        Configurations.service("drafts", Configurations.engine(80, "a100", 72_000, 2.4, 3.2));
    String briefs =
        Configurations.service("briefs", Configurations.engine(20, "l40s", 43_200, 5.6, 2.7));
    String draft = Configurations.stream("draft", "drafts");
    String brief = Configurations.stream("brief", "briefs");
    store.put("op/config", Configurations.of(7, draft, drafts));
    List<EngineReplica.Order> orders = Collections.synchronizedList(new ArrayList<>());
    for (int i = 0; i < 3; i++) {
      new EngineReplica(
          lab, store, "i-draft" + i, 0, "drafts", "z1", "a100", 72_000, Configurations.LAYER_MB,
          Configurations.LOAD_SECONDS / 80, orders);
    }
    List<Lab.Node> nodes = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      nodes.add(lab.new Node("node" + i, "z1", store.port()));
    }
    for (Lab.Node node : nodes) {
      node.start();
    }
    nodes.forEach(Lab.Node::awaitReady);
    String first = stream(nodes.get(0).front, "/draft/1", "first");
    if (!first.equals("200, 10 events")) {
      lab.fail("before the change: " + first);
    }
    if (Lab.trouble()) {
      for (int i = 0; i < added; i++) {
        new EngineReplica(
            lab, store, "i-brief" + i, 0, "briefs", "z1", "l40s", 43_200,
            Configurations.LAYER_MB, Configurations.LOAD_SECONDS / 20, orders);
      }
      Lab.sleep(1000);
      store.put("op/config", Configurations.of(9, draft + "," + brief, drafts + "," + briefs));
      lab.log("operator: version 9 adds the model 'briefs' and its route, acknowledged");
    }
    long ackAt = System.nanoTime();
    int[] sent = new int[2];
    int[] served = new int[2];
    String[] paths = {"/draft/1", "/brief/1"};
    for (int n = 0; ; n++) {
      long afterAckMs = (System.nanoTime() - ackAt) / 1_000_000;
      if (afterAckMs > LENGTH_MS) {
        break;
      }
      int route = Lab.trouble() ? n / 2 % 2 : 0;
      String id = "r" + n;
      String result = stream(nodes.get(n % 2).front, paths[route], id);
      lab.log("client: %s, %s, %d ms after the ack: %s", id, paths[route], afterAckMs, result);
      if (afterAckMs > GRACE_MS) {
        sent[route]++;
        served[route] += result.equals("200, 10 events") ? 1 : 0;
      }
      Lab.sleep(150);
    }
    lab.log("first route: %d of %d served; added route: %d of %d served, from %d ms after the ack",
        served[0], sent[0], served[1], sent[1], GRACE_MS);
    long toAdded = orders.stream().filter(order -> order.replica().startsWith("i-brief")).count();
    lab.log("orders to the replicas of the added model: %d", toAdded);
    if (served[0] == 0) {
      lab.fail("the first route is not served");
    }
    double often = (double) served[0] / sent[0];
    boolean broken = sent[1] >= 20 && (double) served[1] / sent[1] < often / 4;
    lab.end(broken ? 1 : 0);
  }

  /** Sends one request for a stream; returns its status and the number of its events. */
  private static String stream(int port, String path, String id) {
    try (Socket socket = Client.connect(port)) {
      socket.setSoTimeout(5000);
      socket
          .getOutputStream()
          .write(
              ("POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Model: m0\r\n"
                      + "X-Token-Usage: 774,200\r\nX-Deadline-Ms: 20000\r\n"
                      + "Authorization: Token key-ward\r\nContent-Length: 5\r\n\r\nhello")
                  .formatted(path, id)
                  .getBytes(ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http answer = Http.readHead(in);
      if (answer == null) {
        return "closed";
      }
      answer.readBody(in, true);
      int events = new String(answer.body, ISO_8859_1).split("\n\n").length;
      return answer.status() == 200 ? "200, " + events + " events" : "" + answer.status();
    } catch (IOException e) {
      return e.toString();
    }
  }
}
