package org.vaneworks.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests how much of the reserve the processes of a box use that succeed each other. */
final class ResendBudgetTest {
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final int NODES = 8;
  private static final int RESERVE = 200;
  private static final Duration STEP = Duration.ofMillis(100);

  private long nowNanos;

  private void advance(Duration time) {
    nowNanos += time.toNanos();
  }

  private ResendBudget startProcess() {
    ForwardingLimits limits = new ForwardingLimits(Duration.ofSeconds(1), 0.2, RESERVE, WINDOW);
    OptionalLong startedAt = OptionalLong.of(nowNanos);
    return ResendBudget.of(() -> nowNanos, limits, new SharingNodes(() -> NODES, () -> startedAt));
  }

  private static int withdrawAll(ResendBudget budget) {
    int withdrawn = 0;
    while (budget.tryWithdraw()) {
      withdrawn++;
    }
    return withdrawn;
  }

  // Guards against a fleet that repeats beyond its reserve, as its processes restart again and
  // again.
  @Property(tries = 200)
  void processesThatSucceedEachOtherKeepTheReserveInEachWindow(
      @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = 150) Integer> lives) {
    List<Integer> spentInSteps = new ArrayList<>();
    for (int steps : lives) {
      ResendBudget budget = startProcess();
      for (int i = 0; i < steps; i++) {
        spentInSteps.add(withdrawAll(budget));
        advance(STEP);
      }
    }
    int stepsOfWindow = (int) (WINDOW.toMillis() / STEP.toMillis());
    for (int from = 0; from < spentInSteps.size(); from++) {
      int to = Math.min(spentInSteps.size(), from + stepsOfWindow);
      int spent = spentInSteps.subList(from, to).stream().mapToInt(Integer::intValue).sum();
      assertTrue(spent <= RESERVE / NODES, () -> "a window with more than the reserve: " + lives);
    }
  }

  @Test
  void reserveGrowsOverTheFirstWindow() {
    ResendBudget budget = startProcess();
    assertEquals(0, withdrawAll(budget));
    assertTrue(budget.canRecover());
    advance(WINDOW.dividedBy(2));
    assertEquals(5, withdrawAll(budget));
    advance(WINDOW.dividedBy(2));
    assertEquals(10, withdrawAll(budget));
    advance(WINDOW);
    assertEquals(0, withdrawAll(budget));
  }
}
