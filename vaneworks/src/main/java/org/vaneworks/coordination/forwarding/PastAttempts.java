package org.vaneworks.coordination.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.vaneworks.state.NotRunProof;

/**
 * The attempts of a request that have ended, or that others replace. Confined to the node's event
 * loop.
 */
final class PastAttempts {
  /** The attempts that ran or may have run. */
  private final List<RunningAttempt> runs = new ArrayList<>();

  private AttemptFailure lastFailure = AttemptFailure.NOT_CONNECTED;
  private boolean rejected;

  /** Records an attempt that ran or may have run. */
  void addRun(RunningAttempt run) {
    runs.add(run);
  }

  /** Removes an attempt that continues, or that has not run after all. */
  void removeRun(RunningAttempt run) {
    runs.remove(run);
  }

  /** Returns whether the request ran or may have run, apart from the current attempt. */
  boolean mayHaveRun() {
    return !runs.isEmpty();
  }

  /**
   * Returns the number of runs that count towards the attempts of the route: those at endpoints
   * whose process is not known to have ended.
   */
  int countedRuns() {
    return (int) runs.stream().filter(run -> !run.hasEndpointEnded()).count();
  }

  /** Records why an attempt ended. */
  void recordFailure(AttemptFailure failure) {
    lastFailure = failure;
    rejected |= failure.isRejection();
  }

  /** Returns why the latest attempt ended. */
  AttemptFailure lastFailure() {
    return lastFailure;
  }

  /** Returns the evidence that the request has not run; it must not have. */
  NotRunProof notRunProof() {
    return rejected ? NotRunProof.ENDPOINT_REFUSED : NotRunProof.NOTHING_SENT;
  }
}
