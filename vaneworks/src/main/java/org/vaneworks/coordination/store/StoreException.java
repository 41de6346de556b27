package org.vaneworks.coordination.store;

/** Thrown when a call to the platform's store fails. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveWritten;

  private StoreException(String message, boolean mayHaveWritten) {
    super(message, null, false, false);
    this.mayHaveWritten = mayHaveWritten;
  }

  /** Returns an exception for a call that had no effect. */
  public static StoreException withoutEffect(String message) {
    return new StoreException(message, false);
  }

  /** Returns an exception for a call whose write may have taken effect. */
  public static StoreException unknownEffect(String message) {
    return new StoreException(message, true);
  }

  /** Returns whether the write may have taken effect. */
  public boolean mayHaveWritten() {
    return mayHaveWritten;
  }
}
