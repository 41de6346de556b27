package org.vaneworks.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
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

  private ResendBudget startUncounted() {
    ForwardingLimits limits = new ForwardingLimits(Duration.ofSeconds(1), 0.2, RESERVE, WINDOW);
    return ResendBudget.of(
        () -> nowNanos, limits, new SharingNodes(() -> NODES, OptionalLong::empty));
  }

  private static void depositAll(ResendBudget budget, int requests) {
    for (int i = 0; i < requests; i++) {
      budget.deposit();
    }
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
      int spent = sum(spentInSteps, from, from + stepsOfWindow);
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

  // Guards against a process that cuts streams for want of a reserve, though its requests pay for
  // retries.
  @Test
  void shareIsUsedBeforeOthersCountTheProcess() {
    ResendBudget budget = startUncounted();
    assertEquals(0, withdrawAll(budget));
    depositAll(budget, 101);
    assertEquals(4, withdrawAll(budget));
    assertEquals(0, withdrawAll(budget));
    depositAll(budget, 101);
    assertEquals(8, withdrawAll(budget));
    assertEquals(0, withdrawAll(budget));
  }

  // Guards against repeats beyond the share of a window, as processes without a reserve save more
  // of
  // it than the window has left.
  @Property(tries = 200)
  void processesWithoutReserveKeepTheShareInEachWindow(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 150) Integer> lives,
      @ForAll Random random) {
    List<Integer> requests = new ArrayList<>();
    List<Integer> spentInSteps = new ArrayList<>();
    for (int steps : lives) {
      ResendBudget budget = startUncounted();
      int maxRequests = 1 + random.nextInt(100);
      boolean spends = false;
      for (int i = 0; i < steps; i++) {
        requests.add(random.nextInt(maxRequests));
        depositAll(budget, requests.get(requests.size() - 1));
        spends = random.nextInt(20) == 0 ? !spends : spends;
        spentInSteps.add(spends ? withdrawAll(budget) : 0);
        advance(STEP);
      }
    }
    int stepsOfWindow = (int) (WINDOW.toMillis() / STEP.toMillis());
    for (int from = 0; from < spentInSteps.size(); from++) {
      int present = sum(requests, from, from + stepsOfWindow);
      int preceding = sum(requests, from - stepsOfWindow, from);
      int spent = sum(spentInSteps, from, from + stepsOfWindow);
      assertTrue(spent <= 0.2 * Math.max(present, preceding) + 1e-6, () -> "too many: " + lives);
    }
  }

  private static int sum(List<Integer> counts, int from, int to) {
    return counts.subList(Math.max(0, from), Math.min(counts.size(), to)).stream()
        .mapToInt(Integer::intValue)
        .sum();
  }

  // Guards against a process that saves the share of more than a window, and spends it in one.
  @Test
  void savedShareExpiresWithTheWindowOfItsRequests() {
    ResendBudget budget = startUncounted();
    for (int i = 0; i < 1000; i++) {
      depositAll(budget, 1);
      advance(STEP);
    }
    assertTrue(withdrawAll(budget) <= 4);
    depositAll(budget, 100);
    advance(WINDOW);
    assertEquals(0, withdrawAll(budget));
  }

  // Guards against a process that adds what it saved to its part of the reserve.
  @Test
  void nothingIsSavedBesidesAReserve() {
    ResendBudget budget = startProcess();
    advance(WINDOW);
    depositAll(budget, 1000);
    assertEquals(15, withdrawAll(budget));
  }

  // Guards against requests that fail at a process whose reserve would pay for them a moment later.
  @Test
  void reserveOfAProcessThatStartedGrows() {
    ResendBudget budget = startUncounted();
    assertTrue(budget.reserveGrows());
    assertTrue(budget.canRecover());
    ResendBudget counted = startProcess();
    advance(WINDOW);
    assertFalse(counted.reserveGrows());
  }
}
