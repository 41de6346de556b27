package org.vaneworks.coordination.fleet;

/**
 * An engine answered a question for its report only by asking for no calls. It is alive; nothing
 * else is known of it.
 */
public final class TurnedAwayException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates one. */
  public TurnedAwayException() {
    super("it wants no calls");
  }
}
