package org.vaneworks.coordination.shared;

/** Thrown when a call to the store fails. */
public final class SharedStoreException extends Exception {
  private static final long serialVersionUID = 1L;

  /** What is known about the effect of the failed call. */
  public enum Kind {
    /** The call had no effect. */
    WITHOUT_EFFECT,
    /** The call may have taken effect, or may still take effect later. */
    UNKNOWN_EFFECT,
    /** The store no longer has the history since the given revision. */
    HISTORY_LOST,
    /** The lease given in the call has ended. */
    LEASE_OVER
  }

  private final Kind kind;

  private SharedStoreException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns an exception of the given kind. */
  public static SharedStoreException of(Kind kind, String message) {
    return new SharedStoreException(kind, message);
  }

  /** Returns what is known about the effect of the call. */
  public Kind kind() {
    return kind;
  }
}
