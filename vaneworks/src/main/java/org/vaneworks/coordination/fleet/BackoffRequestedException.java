package org.vaneworks.coordination.fleet;

/**
 * Signals that an engine answered a report request only by asking for a backoff. The engine is
 * alive; nothing else is known about it.
 */
public final class BackoffRequestedException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public BackoffRequestedException() {
    super("engine asked for a backoff");
  }
}
