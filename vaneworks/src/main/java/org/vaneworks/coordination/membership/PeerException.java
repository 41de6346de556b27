package org.vaneworks.coordination.membership;

/** Thrown when a request to a peer gets no reply. */
public final class PeerException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveArrived;

  private PeerException(String message, boolean mayHaveArrived) {
    super(message, null, false, false);
    this.mayHaveArrived = mayHaveArrived;
  }

  /** Returns an exception for a request that was not sent. */
  public static PeerException notSent(String message) {
    return new PeerException(message, false);
  }

  /** Returns an exception for a request that may have arrived. */
  public static PeerException unanswered(String message) {
    return new PeerException(message, true);
  }

  /** Returns whether the peer may have received the request. */
  public boolean mayHaveArrived() {
    return mayHaveArrived;
  }
}
