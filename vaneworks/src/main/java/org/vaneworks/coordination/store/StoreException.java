package org.vaneworks.coordination.store;

/** A failed call to the platform's store. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveWritten;

  private StoreException(String message, boolean mayHaveWritten) {
    super(message, null, false, false);
    this.mayHaveWritten = mayHaveWritten;
  }

  /** Returns a failure that is known to have had no effect. */
  public static StoreException withoutEffect(String message) {
    return new StoreException(message, false);
  }

  /** Returns a failure after which a write may or may not have taken effect. */
  public static StoreException unknownEffect(String message) {
    return new StoreException(message, true);
  }

  /** Returns whether a write may have taken effect. */
  public boolean mayHaveWritten() {
    return mayHaveWritten;
  }
}
