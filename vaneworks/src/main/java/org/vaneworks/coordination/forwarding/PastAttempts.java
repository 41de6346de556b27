package org.vaneworks.coordination.forwarding;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.NotRunProof;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;

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
   *
   * @param running an attempt that counts as well
   */
  int countedRuns(Optional<RunningAttempt> running) {
    return (int) counted(running).count();
  }

  /**
   * Returns the IDs of the endpoints on which the request ran or may have run and whose process is
   * not known to have ended; peers are none. Of the incarnations of an endpoint one runs at a time.
   *
   * @param running an attempt that counts as well
   */
  ImmutableSet<String> endpoints(Optional<RunningAttempt> running) {
    return counted(running)
        .map(RunningAttempt::endpoint)
        .filter(endpoint -> !endpoint.isPeer())
        .map(endpoint -> endpoint.endpoint().id())
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns the number of endpoints that count towards the attempts of the route. Each run at a
   * peer counts, as a peer may use another endpoint each time.
   *
   * @param running an attempt that counts as well
   */
  int countedEndpoints(Optional<RunningAttempt> running) {
    long atPeers = counted(running).filter(run -> run.endpoint().isPeer()).count();
    return endpoints(running).size() + (int) atPeers;
  }

  private Stream<RunningAttempt> counted(Optional<RunningAttempt> running) {
    return Stream.concat(runs.stream(), running.stream()).filter(run -> !run.hasEndpointEnded());
  }

  /** Returns the endpoint of the run that ended last. */
  Optional<TrackedEndpoint> lastEndpoint() {
    return runs.isEmpty() ? Optional.empty() : Optional.of(runs.get(runs.size() - 1).endpoint());
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

  /**
   * Returns the answer to a caller that has no part of a response, if the request is not sent
   * again.
   *
   * @param lastVerdict whether the latest attempt ran
   * @param retryAfter asked only if the request has not run
   */
  Refusal refusal(
      Verdict lastVerdict, ResendDenial denial, String detail, Supplier<Duration> retryAfter) {
    if (!mayHaveRun() && lastVerdict == Verdict.NOT_RUN) {
      boolean noCapacity = denial == ResendDenial.NO_CAPACITY;
      return notRun(
          noCapacity ? Reason.NO_ENDPOINT : Reason.ENDPOINT_OVERLOADED, detail, retryAfter);
    }
    boolean answered = lastFailure == AttemptFailure.UNPROVEN_REFUSAL;
    return Refusal.mayHaveRun(answered ? Reason.UNPROVEN_REFUSAL : Reason.ENDPOINT_LOST, detail);
  }

  /** Returns the refusal of a request that has not run. */
  Refusal notRun(Reason reason, String detail, Supplier<Duration> retryAfter) {
    NotRunProof proof = rejected ? NotRunProof.ENDPOINT_REFUSED : NotRunProof.NOTHING_SENT;
    return Refusal.notRun(proof, reason, detail).withRetryAfter(retryAfter.get());
  }
}
