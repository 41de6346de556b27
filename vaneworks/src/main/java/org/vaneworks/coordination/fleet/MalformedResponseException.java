package org.vaneworks.coordination.fleet;

/**
 * Signals that an endpoint's response was not valid HTTP, or had a head over its bound. The
 * endpoint's process has not ended, as it sent the response.
 */
public final class MalformedResponseException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with the failure that the transport reported. */
  public MalformedResponseException(Throwable cause) {
    super(String.valueOf(cause), cause);
  }
}
