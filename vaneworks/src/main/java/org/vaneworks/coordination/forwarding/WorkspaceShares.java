package org.vaneworks.coordination.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vaneworks.coordination.queueing.FairShares;

/**
 * The shares of workspaces in the starts of one service at this node.
 *
 * <p>Each priority has its own virtual time and finish tags: less urgent requests may wait while
 * more urgent ones advance the virtual time, and the start tags of the two would not be comparable.
 * Requests without a workspace form one flow. Confined to the node's event loop.
 */
final class WorkspaceShares {
  /**
   * Number of flows of a priority above which flows without effect are removed. Below it, their
   * memory is not worth a pass over them.
   */
  private static final int MIN_FLOWS_TO_REMOVE = 64;

  private final Map<Integer, FairShares<Optional<String>>> byPriority = new HashMap<>();
  private int removeAbove = MIN_FLOWS_TO_REMOVE;

  /** Returns the virtual time of a priority, which a request that arrives has to keep. */
  double virtualTime(int priority) {
    return of(priority).virtualTime();
  }

  /**
   * Charges the start of a request to its workspace.
   *
   * @param arrivedAt virtual time of the priority when the request arrived
   */
  void recordStart(int priority, double arrivedAt, WorkspaceCharge charge) {
    FairShares<Optional<String>> shares = of(priority);
    shares.serve(shares.charge(charge.workspace(), arrivedAt, charge.cost(), charge.weight()));
  }

  /** Removes flows that have no effect any more if there are many; no request may be waiting. */
  void removePast() {
    int flows = byPriority.values().stream().mapToInt(FairShares::flows).sum();
    if (flows > removeAbove) {
      byPriority.values().forEach(FairShares::removePast);
      byPriority.values().removeIf(shares -> shares.flows() == 0);
      int left = byPriority.values().stream().mapToInt(FairShares::flows).sum();
      removeAbove = Math.max(MIN_FLOWS_TO_REMOVE, 2 * left);
    }
  }

  /** Returns a forecast of the start tags of waiting requests. */
  Forecast forecast() {
    return new Forecast();
  }

  private FairShares<Optional<String>> of(int priority) {
    return byPriority.computeIfAbsent(priority, unused -> FairShares.create());
  }

  /** Start tags of waiting requests if the requests of each workspace start in a given order. */
  final class Forecast {
    private final Map<Integer, FairShares<Optional<String>>.Forecast> byPriority = new HashMap<>();

    private Forecast() {}

    /** Returns the start tag of a request that follows those passed to this method before. */
    double next(int priority, double arrivedAt, WorkspaceCharge charge) {
      return byPriority
          .computeIfAbsent(priority, unused -> of(priority).forecast())
          .next(charge.workspace(), arrivedAt, charge.cost(), charge.weight());
    }
  }
}
