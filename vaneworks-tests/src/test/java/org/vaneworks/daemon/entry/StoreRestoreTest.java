package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vaneworks.tests.forwarding.RecordedResponse;

/** Checks that a restore of the store from a backup has no effect on callers. */
final class StoreRestoreTest {
  private static final int NODES = 6;
  private static final int ENGINES = 5;
  private static final int INTERVAL_MILLIS = 40;

  private final List<RecordedResponse> responses = new ArrayList<>();

  private void sendRequests(SimulatedCluster cluster, int millis) {
    for (int passed = 0; passed < millis; passed += INTERVAL_MILLIS) {
      responses.add(cluster.sendRequest(responses.size(), "letter " + responses.size()));
      cluster.advance(INTERVAL_MILLIS);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 500, 900})
  void requestsAreServedDuringRestores(int outageMillis) {
    SimulatedCluster cluster = new SimulatedCluster(NODES, ENGINES, outageMillis);
    sendRequests(cluster, 1000);
    for (int restore = 0; restore < 4; restore++) {
      cluster.store.takeBackup();
      sendRequests(cluster, 3000);
      cluster.store.down = outageMillis > 0;
      sendRequests(cluster, outageMillis);
      cluster.store.down = false;
      cluster.restoreStore();
      sendRequests(cluster, 3000);
    }
    cluster.advance(2000);
    assertEquals(responses.size(), responses.stream().filter(response -> response.whole).count());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 500})
  void requestsAreServedIfTheBackupListsNoEngine(int outageMillis) {
    SimulatedCluster cluster = new SimulatedCluster(NODES, ENGINES, outageMillis);
    cluster.store.takeEmptyBackup();
    sendRequests(cluster, 3000);
    cluster.store.down = outageMillis > 0;
    sendRequests(cluster, outageMillis);
    cluster.store.down = false;
    cluster.restoreStore();
    sendRequests(cluster, 6000);
    cluster.advance(2000);
    assertEquals(responses.size(), responses.stream().filter(response -> response.whole).count());
  }
}
