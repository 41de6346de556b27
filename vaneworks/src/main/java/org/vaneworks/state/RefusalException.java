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
   * Returns the refusal behind a failure.
   *
   * @param failure any throwable; one that carries no refusal is an internal failure, of which
   *     nothing is known, so its verdict is {@link Verdict#MAY_HAVE_RUN}
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
