package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;

/**
 * A final answer other than success: its reason, verdict, detail and retry delay.
 *
 * <p>A refusal with {@link Verdict#NOT_RUN} always has a {@link NotRunProof}. Immutable.
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

  /** Returns the refusal of a request of which no part ran. */
  public static Refusal notRun(NotRunProof proof, Reason reason, String detail) {
    return new Refusal(
        reason, Verdict.NOT_RUN, Optional.of(checkNotNull(proof)), detail, Optional.empty());
  }

  /** Returns a refusal by this node before it sent anything. */
  public static Refusal nothingSent(Reason reason, String detail) {
    return notRun(NotRunProof.NOTHING_SENT, reason, detail);
  }

  /** Returns the failure of a request of which some part may have run. */
  public static Refusal mayHaveRun(Reason reason, String detail) {
    return new Refusal(reason, Verdict.MAY_HAVE_RUN, Optional.empty(), detail, Optional.empty());
  }

  /** Returns the failure of a request of which some part is known to have run. */
  public static Refusal ran(Reason reason, String detail) {
    return new Refusal(reason, Verdict.RAN, Optional.empty(), detail, Optional.empty());
  }

  /** Returns a copy that asks the caller to wait before it retries. */
  public Refusal withRetryAfter(Duration wait) {
    checkArgument(!wait.isNegative(), "retryAfter must not be negative: %s", wait);
    return new Refusal(reason, verdict, proof, detail, Optional.of(wait));
  }

  /**
   * Returns this refusal with {@link Verdict#NOT_RUN} weakened to {@link Verdict#MAY_HAVE_RUN}.
   *
   * <p>Applies to requests with a ticket or an idempotency key: this attempt did not run, but an
   * earlier attempt with the same ticket or key may have.
   */
  public Refusal withoutProof() {
    return verdict == Verdict.NOT_RUN
        ? new Refusal(reason, Verdict.MAY_HAVE_RUN, Optional.empty(), detail, retryAfter)
        : this;
  }

  /** Returns the reason. */
  public Reason reason() {
    return reason;
  }

  /** Returns whether any part of the request ran or may have run. */
  public Verdict verdict() {
    return verdict;
  }

  /** Returns the evidence for {@link Verdict#NOT_RUN}; present only with that verdict. */
  public Optional<NotRunProof> proof() {
    return proof;
  }

  /** Returns the human-readable detail. */
  public String detail() {
    return detail;
  }

  /** Returns how long the caller should wait before it retries, if specified. */
  public Optional<Duration> retryAfter() {
    return retryAfter;
  }

  /** Returns an exception that carries this refusal through a failed future. */
  public RefusalException toException() {
    return new RefusalException(this);
  }

  @Override
  public String toString() {
    return reason.code() + " (" + verdict + "): " + detail;
  }
}
