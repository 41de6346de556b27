package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;

/**
 * A final answer other than success: reason, verdict, detail and when to come back.
 *
 * <p>A {@link Verdict#NOT_RUN} can only be built by {@link #notRun}, which asks for the proof.
 */
public final class Refusal {
  private final Reason reason;
  private final Verdict verdict;
  private final Optional<NotRunProof> proof;
  private final String detail;
  private final Optional<Duration> retryAfter;

  private Refusal(
      Reason reason,
      Verdict verdict,
      Optional<NotRunProof> proof,
      String detail,
      Optional<Duration> retryAfter) {
    this.reason = checkNotNull(reason);
    this.verdict = checkNotNull(verdict);
    this.proof = checkNotNull(proof);
    this.detail = checkNotNull(detail);
    this.retryAfter = checkNotNull(retryAfter);
  }

  /** Returns a refusal of which no part ran. */
  public static Refusal notRun(NotRunProof proof, Reason reason, String detail) {
    return new Refusal(
        reason, Verdict.NOT_RUN, Optional.of(checkNotNull(proof)), detail, Optional.empty());
  }

  /** Returns a refusal made inside this node, before anything was sent. */
  public static Refusal nothingSent(Reason reason, String detail) {
    return notRun(NotRunProof.NOTHING_SENT, reason, detail);
  }

  /** Returns a failure of which some part may have run. */
  public static Refusal mayHaveRun(Reason reason, String detail) {
    return new Refusal(reason, Verdict.MAY_HAVE_RUN, Optional.empty(), detail, Optional.empty());
  }

  /** Returns a failure of which some part is known to have run. */
  public static Refusal ran(Reason reason, String detail) {
    return new Refusal(reason, Verdict.RAN, Optional.empty(), detail, Optional.empty());
  }

  /** Returns a copy that tells the caller when to come back. */
  public Refusal withRetryAfter(Duration wait) {
    checkArgument(!wait.isNegative(), "retryAfter must not be negative: %s", wait);
    return new Refusal(reason, verdict, proof, detail, Optional.of(wait));
  }

  /**
   * Returns a copy that claims no more than {@link Verdict#MAY_HAVE_RUN}.
   *
   * <p>For a request under a ticket or key: this attempt did nothing, but an earlier one may have.
   */
  public Refusal withoutProof() {
    return verdict == Verdict.NOT_RUN
        ? new Refusal(reason, Verdict.MAY_HAVE_RUN, Optional.empty(), detail, retryAfter)
        : this;
  }

  /** Returns why. */
  public Reason reason() {
    return reason;
  }

  /** Returns whether any part may have run. */
  public Verdict verdict() {
    return verdict;
  }

  /** Returns how {@link Verdict#NOT_RUN} is known; present exactly for that verdict. */
  public Optional<NotRunProof> proof() {
    return proof;
  }

  /** Returns the particulars, for people. */
  public String detail() {
    return detail;
  }

  /** Returns how long the caller should wait before it asks again. */
  public Optional<Duration> retryAfter() {
    return retryAfter;
  }

  /** Returns this refusal as an exception for a failed future. */
  public RefusalException toException() {
    return new RefusalException(this);
  }

  @Override
  public String toString() {
    return reason.code() + " (" + verdict + "): " + detail;
  }
}
