package org.vaneworks.coordination.fleet;

/**
 * Signals that a box refused a connection to an endpoint's address: the box is up, but the
 * endpoint's process is not. A timeout or a broken connection does not prove this.
 */
public final class ConnectionRefusedException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with the failure that the transport reported. */
  public ConnectionRefusedException(Throwable cause) {
    super(String.valueOf(cause), cause);
  }
}
