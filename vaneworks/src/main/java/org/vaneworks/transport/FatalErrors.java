package org.vaneworks.transport;

import com.google.common.base.Throwables;

/**
 * Reports {@link Error}s that ServiceTalk passes on as failures of one call, or drops.
 *
 * <p>They are passed to the uncaught exception handler of the thread, as if nothing had caught
 * them.
 */
public final class FatalErrors {
  private FatalErrors() {}

  /** Reports the first error in a chain of causes, if there is one. */
  public static void report(Throwable failure) {
    for (Throwable cause : Throwables.getCausalChain(failure)) {
      if (cause instanceof Error) {
        Thread thread = Thread.currentThread();
        thread.getUncaughtExceptionHandler().uncaughtException(thread, cause);
        return;
      }
    }
  }
}
