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

/** Tests that a follower sees every change and never reports its view as fresher than it is. */
final class PrefixFollowerTest {
  private final PausedExecutor clock = PausedExecutor.create();
  private final InMemorySharedStore store = new InMemorySharedStore(clock);
  private final BoxClock boxClock = new BoxClock(clock);
  private final Map<String, String> seen = new TreeMap<>();
  private int changesReceived;
  private boolean listenerFails;
  private boolean replaceFails;
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
              if (replaceFails) {
                throw new IllegalStateException("the listener fails");
              }
              seen.clear();
              items.forEach(item -> seen.put(item.key(), item.value()));
            }

            @Override
            public void change(StoreChanges.Change change) {
              changesReceived++;
              if (listenerFails) {
                throw new IllegalStateException("the listener fails");
              }
              if (change.removed()) {
                seen.remove(change.item().key());
              } else {
                seen.put(change.item().key(), change.item().value());
              }
            }
          },
          boxClock.suspensionDetector());

  private void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  private long ageMillis() {
    long age = clock.currentTime(TimeUnit.NANOSECONDS) - follower.confirmedAt();
    return TimeUnit.NANOSECONDS.toMillis(age);
  }

  @Test
  void seesExistingItemsAndChanges() {
    store.put("a/1", "x");
    follower.start();
    advance(10);
    store.put("a/2", "y");
    store.remove("a/1");
    advance(300);
    assertEquals(Map.of("a/2", "y"), seen);
  }

  /**
   * Guards against CPU load on all nodes when an operator changes a large value many times in a
   * second: parsing it is expensive, and only the last value matters.
   */
  @Test
  void severalChangesOfAKeyAreDeliveredOnce() {
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
    assertEquals(2, changesReceived);
  }

  @Test
  void viewStaysFreshWithoutChanges() {
    follower.start();
    for (int i = 0; i < 100; i++) {
      advance(100);
      assertTrue(ageMillis() <= 3400, "age " + ageMillis());
    }
  }

  @Test
  void ageCountsFromTheRequestAndGrowsDuringAnOutage() {
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
  void lostHistoryCausesAFullRead() {
    store.put("a/1", "x");
    follower.start();
    advance(200);
    store.remove("a/1");
    store.put("a/3", "z");
    store.forgetHistory();
    advance(2000);
    assertEquals(Map.of("a/3", "z"), seen);
  }

  // Guards against a view that is not updated any more because the listener has thrown an
  // exception.
  @Test
  void viewIsReadAgainIfTheListenerFails() {
    store.put("a/1", "x");
    follower.start();
    advance(200);
    listenerFails = true;
    store.put("a/2", "y");
    store.put("a/3", "z");
    advance(3000);
    assertEquals(Map.of("a/1", "x", "a/2", "y", "a/3", "z"), seen);
    assertTrue(ageMillis() <= 3400, "age " + ageMillis());
  }

  // Guards against a view that counts as fresh although the listener has not got it.
  @Test
  void viewIsNotConfirmedWhileTheListenerFails() {
    follower.start();
    advance(200);
    replaceFails = true;
    store.put("a/2", "y");
    listenerFails = true;
    advance(5000);
    assertTrue(ageMillis() >= 5000, "age " + ageMillis());
    replaceFails = false;
    advance(3000);
    assertEquals(Map.of("a/2", "y"), seen);
    assertTrue(ageMillis() <= 3400, "age " + ageMillis());
  }

  @Test
  void fewCallsAreMadeDuringAnOutage() {
    follower.start();
    advance(100);
    store.down = true;
    advance(100);
    int before = store.calls.size();
    advance(10_000);
    assertTrue(store.calls.size() - before <= 45, "calls " + (store.calls.size() - before));
  }

  @Test
  void viewIsUnconfirmedAfterASuspensionUntilTheNextCall() {
    follower.start();
    advance(500);
    assertTrue(follower.isConfirmedWithin(Duration.ofSeconds(5)));
    boxClock.step(3000);
    assertFalse(follower.isConfirmedWithin(Duration.ofSeconds(5)));
    advance(20);
    assertTrue(follower.isConfirmedWithin(Duration.ofSeconds(5)));
  }

  @Test
  void callSentBeforeASuspensionDoesNotConfirmTheView() {
    follower.start();
    advance(500);
    boxClock.step(3000);
    store.put("a/1", "x");
    // The watch that was pending during the suspension completes now.
    advance(5);
    assertFalse(follower.isConfirmedWithin(Duration.ofSeconds(60)));
    advance(20);
    assertTrue(follower.isConfirmedWithin(Duration.ofSeconds(60)));
  }

  @Test
  void changeDuringASuspensionIsSeenImmediately() {
    follower.start();
    advance(500);
    boxClock.step(3000);
    store.put("a/1", "x");
    boolean unused = follower.isConfirmedWithin(Duration.ofSeconds(5));
    advance(20);
    assertEquals(Map.of("a/1", "x"), seen);
  }

  @Test
  void callRateIsUnchangedAfterASuspension() {
    follower.start();
    advance(500);
    boxClock.step(3000);
    boolean unused = follower.isConfirmedWithin(Duration.ofSeconds(5));
    advance(20);
    int calls = store.calls.size();
    advance(16_000);
    // Alternately a watch of 1.5 s and a pause of 0.1 s.
    assertEquals(calls + 10, store.calls.size(), 1);
  }

  private void restoreBackupWithout(String key) {
    store.takeBackup();
    store.put(key, "lost");
    advance(300);
    assertTrue(seen.containsKey(key));
    store.down = true;
    advance(200);
    store.down = false;
    store.restoreBackup();
  }

  @Test
  void changeWithAReusedRevisionIsSeen() {
    store.put("a/1", "x");
    follower.start();
    advance(300);
    restoreBackupWithout("a/2");
    store.put("a/3", "y");
    advance(3000);
    assertEquals(Map.of("a/1", "x", "a/3", "y"), seen);
  }

  @Test
  void changeWithAReusedRevisionIsSeenWithoutHistory() {
    store.put("a/1", "x");
    follower.start();
    advance(300);
    store.backupsHaveNoHistory = true;
    restoreBackupWithout("a/2");
    store.put("a/3", "y");
    advance(3000);
    assertEquals(Map.of("a/1", "x", "a/3", "y"), seen);
  }

  @Test
  void repeatedlyRestoredStoreIsFollowed() {
    follower.start();
    for (int i = 0; i < 5; i++) {
      advance(300);
      restoreBackupWithout("a/lost" + i);
      store.put("a/" + i, "y");
    }
    advance(3000);
    assertEquals(5, seen.size());
  }
}
