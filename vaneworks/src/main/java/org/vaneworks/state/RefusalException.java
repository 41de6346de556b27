package org.vaneworks.state;

import java.util.concurrent.CompletionException;

/** Carries a {@link Refusal} through a failed {@link java.util.concurrent.CompletableFuture}. */
public final class RefusalException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Refusal refusal;

  RefusalException(Refusal refusal) {
    super(refusal.toString(), null, false, false);
    this.refusal = refusal;
  }

  /** Returns the refusal. */
  public Refusal refusal() {
    return refusal;
  }

  /**
   * Returns the refusal that a failure carries.
   *
   * <p>A failure without a refusal is an internal error. Since it is not known whether the request
   * ran, its verdict is {@link Verdict#MAY_HAVE_RUN}.
   *
   * @param failure any throwable
   */
  public static Refusal refusalOf(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof RefusalException) {
      return ((RefusalException) cause).refusal();
    }
    return Refusal.mayHaveRun(Reason.INTERNAL, String.valueOf(cause));
  }
}
