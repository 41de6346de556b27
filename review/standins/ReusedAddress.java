package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Case: a model replica crashes while the deployment starts, and its address is given to a replica
 * of another service, which the configuration does not name yet.
 */
public final class ReusedAddress {
  private static final int ADDR_REUSE_MS = 2000;

  private ReusedAddress() {}

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    Store store = new Store();
    String drafts =
        Configurations.service("drafts", Configurations.engine(80, "a100", 72_000, 2.4, 3.2));
    store.put("op/config", Configurations.of(7, Configurations.stream("draft", "drafts"), drafts));
    List<EngineReplica.Order> orders = Collections.synchronizedList(new ArrayList<>());
    List<EngineReplica> first = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      first.add(draftReplica(lab, store, "i-draft" + i, orders));
    }
    List<Lab.Node> nodes = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      nodes.add(lab.new Node("node" + i, "z1", store.port()));
    }
    for (Lab.Node node : nodes) {
      node.start();
    }
    nodes.forEach(Lab.Node::awaitListening);
    Lab.sleep(300);
    if (Lab.trouble()) {
      EngineReplica crashed = first.get(0);
      crashed.crash();
      Lab.sleep(ADDR_REUSE_MS + 100);
      briefReplica(lab, store, "i-brief-new", crashed.port, orders);
    }
    Lab.sleep(10_000);
    int beyond = 0;
    for (EngineReplica.Order order : orders) {
      beyond += order.layers() > order.fits() ? 1 : 0;
    }
    lab.log("LIMIT: %d of %d orders were for more layers than their replica holds", beyond, orders.size());
    if (orders.isEmpty()) {
      lab.fail("no order was given");
    }
    lab.end(beyond > 0 ? 1 : 0);
  }

  private static EngineReplica draftReplica(
      Lab lab, Store store, String id, List<EngineReplica.Order> orders) throws IOException {
    return new EngineReplica(
        lab, store, id, 0, "drafts", "z1", "a100", 72_000, Configurations.LAYER_MB,
        Configurations.LOAD_SECONDS / 80, orders);
  }

  private static EngineReplica briefReplica(
      Lab lab, Store store, String id, int port, List<EngineReplica.Order> orders)
      throws IOException {
    return new EngineReplica(
        lab, store, id, port, "briefs", "z1", "l4", 21_600, Configurations.LAYER_MB,
        Configurations.LOAD_SECONDS / 20, orders);
  }
}
