package org.vaneworks.tests.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Checks that a follower sees every change and never overstates how fresh its view is. */
final class PrefixFollowerTest {
  private final PausedExecutor clock = PausedExecutor.create();
  private final StoreInMemory store = new StoreInMemory(clock);
  private final BoxTime time = new BoxTime(clock);
  private final Map<String, String> seen = new TreeMap<>();
  private int changesHeard;
  private final PrefixFollower follower =
      PrefixFollower.create(
          clock,
          new Random(3),
          store,
          Counters.in(new SimpleMeterRegistry()),
          "a/",
          () -> Duration.ofMillis(1500),
          () -> Duration.ofMillis(100),
          new PrefixFollower.Listener() {
            @Override
            public void replace(ImmutableList<StoredItem> items) {
              seen.clear();
              items.forEach(item -> seen.put(item.key(), item.value()));
            }

            @Override
            public void change(StoreChanges.Change change) {
              changesHeard++;
              if (change.removed()) {
                seen.remove(change.item().key());
              } else {
                seen.put(change.item().key(), change.item().value());
              }
            }
          },
          time.watch());

  private void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  private long ageMillis() {
    long age = clock.currentTime(TimeUnit.NANOSECONDS) - follower.confirmedAt();
    return TimeUnit.NANOSECONDS.toMillis(age);
  }

  @Test
  void seesWhatIsThereAndWhatChanges() {
    store.put("a/1", "x");
    follower.start();
    advance(10);
    store.put("a/2", "y");
    store.remove("a/1");
    advance(300);
    assertEquals(Map.of("a/2", "y"), seen);
  }

  /**
   * The load of an operator that changes a large value many times in a second: each reading takes a
   * node's time, and only the last counts.
   */
  @Test
  void valueThatChangedSeveralTimesIsHandedOverOnce() {
    store.put("a/1", "x");
    follower.start();
    advance(10);
    for (int version = 1; version <= 5; version++) {
      store.put("a/1", "v" + version);
    }
    store.put("a/2", "y");
    store.remove("a/2");
    store.put("a/2", "z");
    advance(300);
    assertEquals(Map.of("a/1", "v5", "a/2", "z"), seen);
    assertEquals(2, changesHeard);
  }

  @Test
  void viewIsConfirmedWhileNothingChanges() {
    follower.start();
    for (int i = 0; i < 100; i++) {
      advance(100);
      assertTrue(ageMillis() <= 3400, "age " + ageMillis());
    }
  }

  @Test
  void ageCountsFromTheQuestionAndGrowsInAnOutage() {
    follower.start();
    advance(5000);
    store.down = true;
    advance(4000);
    assertTrue(ageMillis() >= 4000, "age " + ageMillis());
    store.down = false;
    advance(1000);
    assertTrue(ageMillis() <= 1000 + 1600, "age " + ageMillis());
  }

  @Test
  void forgottenHistoryLeadsToAWholeRead() {
    store.put("a/1", "x");
    follower.start();
    advance(200);
    store.remove("a/1");
    store.put("a/3", "z");
    store.forgetHistory();
    advance(2000);
    assertEquals(Map.of("a/3", "z"), seen);
  }

  @Test
  void outageCostsFewCalls() {
    follower.start();
    advance(100);
    store.down = true;
    advance(100);
    int before = store.calls.size();
    advance(10_000);
    assertTrue(store.calls.size() - before <= 45, "calls " + (store.calls.size() - before));
  }

  @Test
  void viewIsOfUnknownAgeAfterASuspensionUntilItIsConfirmedAnew() {
    follower.start();
    advance(500);
    assertTrue(follower.isConfirmedWithin(Duration.ofSeconds(5)));
    time.step(3000);
    assertFalse(follower.isConfirmedWithin(Duration.ofSeconds(5)));
    advance(20);
    assertTrue(follower.isConfirmedWithin(Duration.ofSeconds(5)));
  }

  @Test
  void callThatWasAskedBeforeASuspensionConfirmsNothing() {
    follower.start();
    advance(500);
    time.step(3000);
    store.put("a/1", "x");
    // The watch that waited through the suspension is answered now.
    advance(5);
    assertFalse(follower.isConfirmedWithin(Duration.ofSeconds(60)));
    advance(20);
    assertTrue(follower.isConfirmedWithin(Duration.ofSeconds(60)));
  }

  @Test
  void changeDuringASuspensionIsSeenAtOnce() {
    follower.start();
    advance(500);
    time.step(3000);
    store.put("a/1", "x");
    boolean unused = follower.isConfirmedWithin(Duration.ofSeconds(5));
    advance(20);
    assertEquals(Map.of("a/1", "x"), seen);
  }

  @Test
  void followerGoesOnAsBeforeAfterASuspension() {
    follower.start();
    advance(500);
    time.step(3000);
    boolean unused = follower.isConfirmedWithin(Duration.ofSeconds(5));
    advance(20);
    int calls = store.calls.size();
    advance(16_000);
    // One watch of 1.5 s and a pause of 0.1 s after the other.
    assertEquals(calls + 10, store.calls.size(), 1);
  }

  private void comeBackWithout(String key) {
    store.takeCopy();
    store.put(key, "lost");
    advance(300);
    assertTrue(seen.containsKey(key));
    store.down = true;
    advance(200);
    store.down = false;
    store.comeBackFromCopy();
  }

  @Test
  void changeUnderANumberThatIsGivenOutAgainIsSeen() {
    store.put("a/1", "x");
    follower.start();
    advance(300);
    comeBackWithout("a/2");
    store.put("a/3", "y");
    advance(3000);
    assertEquals(Map.of("a/1", "x", "a/3", "y"), seen);
  }

  @Test
  void sameWhereTheHistoryIsGoneToo() {
    store.put("a/1", "x");
    follower.start();
    advance(300);
    store.copiesHaveNoHistory = true;
    comeBackWithout("a/2");
    store.put("a/3", "y");
    advance(3000);
    assertEquals(Map.of("a/1", "x", "a/3", "y"), seen);
  }

  @Test
  void storeThatComesBackAgainAndAgainIsFollowed() {
    follower.start();
    for (int i = 0; i < 5; i++) {
      advance(300);
      comeBackWithout("a/lost" + i);
      store.put("a/" + i, "y");
    }
    advance(3000);
    assertEquals(5, seen.size());
  }
}
