package org.vaneworks.coordination.fleet;

/**
 * A box refused a connection to an endpoint's address: the box is up, the endpoint's process is
 * not. Silence, or a connection that breaks, shows no such thing.
 */
public final class NobodyListensException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates one for what the transport saw. */
  public NobodyListensException(Throwable cause) {
    super(String.valueOf(cause), cause);
  }
}
