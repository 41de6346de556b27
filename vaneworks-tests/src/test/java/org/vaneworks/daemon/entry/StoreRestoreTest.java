package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vaneworks.tests.forwarding.Got;

/** Checks that callers see nothing of a store that comes back from an older copy. */
final class StoreRestoreTest {
  private static final int NODES = 6;
  private static final int ENGINES = 5;
  private static final int PAUSE_MILLIS = 40;

  private final List<Got> answers = new ArrayList<>();

  private void ask(SimulatedCluster fleet, int millis) {
    for (int passed = 0; passed < millis; passed += PAUSE_MILLIS) {
      answers.add(fleet.ask(answers.size(), "letter " + answers.size()));
      fleet.advance(PAUSE_MILLIS);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 500, 900})
  void requestsAreServedAllTheWhile(int awayMillis) {
    SimulatedCluster fleet = new SimulatedCluster(NODES, ENGINES, awayMillis);
    ask(fleet, 1000);
    for (int time = 0; time < 4; time++) {
      fleet.store.takeCopy();
      ask(fleet, 3000);
      fleet.store.down = awayMillis > 0;
      ask(fleet, awayMillis);
      fleet.store.down = false;
      fleet.storeComesBack();
      ask(fleet, 3000);
    }
    fleet.advance(2000);
    assertEquals(answers.size(), answers.stream().filter(got -> got.whole).count());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 500})
  void requestsAreServedWhereTheCopyNamesNoEngineYet(int awayMillis) {
    SimulatedCluster fleet = new SimulatedCluster(NODES, ENGINES, awayMillis);
    fleet.store.copyNothing();
    ask(fleet, 3000);
    fleet.store.down = awayMillis > 0;
    ask(fleet, awayMillis);
    fleet.store.down = false;
    fleet.storeComesBack();
    ask(fleet, 6000);
    fleet.advance(2000);
    assertEquals(answers.size(), answers.stream().filter(got -> got.whole).count());
  }
}
