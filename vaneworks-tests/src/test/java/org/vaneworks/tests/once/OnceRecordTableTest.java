package org.vaneworks.tests.once;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.once.OnceLimits;
import org.vaneworks.coordination.once.OnceOutcome;
import org.vaneworks.coordination.once.OnceRecord;
import org.vaneworks.coordination.once.OnceRecordTable;
import org.vaneworks.testlib.PausedExecutor;

/** Tests the bounds on the records of requests that run at most once. */
final class OnceRecordTableTest {
  private static final OnceOutcome OUTCOME =
      new OnceOutcome.Tokens(ImmutableList.of("x".repeat(100)));
  private static final OnceRecord RECORD = new OnceRecord("r1", "hash", Optional.of(OUTCOME));

  // Guards against refusing requests because records that were handed over twice counted twice.
  @Test
  void recordThatIsHandedOverTwiceCountsOnce() {
    OnceRecordTable table = tableWithBytes(OUTCOME.size() + 1);
    table.addAll(ImmutableList.of(RECORD));
    table.addAll(ImmutableList.of(RECORD));
    assertEquals(1, table.size());
    assertInstanceOf(OnceRecordTable.Decision.Start.class, table.start("r2", "hash", true));
  }

  // Guards against a bound that does not count records that were handed over.
  @Test
  void recordThatIsHandedOverCounts() {
    OnceRecordTable table = tableWithBytes(OUTCOME.size());
    table.addAll(ImmutableList.of(RECORD));
    assertInstanceOf(OnceRecordTable.Decision.Wait.class, table.start("r2", "hash", true));
  }

  private static OnceRecordTable tableWithBytes(long maxBytes) {
    Duration minutes = Duration.ofMinutes(10);
    return new OnceRecordTable(
        PausedExecutor.create(), new OnceLimits(minutes, minutes, 100, maxBytes));
  }
}
