package org.vaneworks.coordination.membership;

/** A request to a peer that got no reply. */
public final class PeerException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveArrived;

  private PeerException(String message, boolean mayHaveArrived) {
    super(message, null, false, false);
    this.mayHaveArrived = mayHaveArrived;
  }

  /** Returns a failure of a request that never left this node. */
  public static PeerException notSent(String message) {
    return new PeerException(message, false);
  }

  /** Returns a failure of a request that may have arrived. */
  public static PeerException unanswered(String message) {
    return new PeerException(message, true);
  }

  /** Returns whether the peer may have got the request. */
  public boolean mayHaveArrived() {
    return mayHaveArrived;
  }
}
