package org.vaneworks.coordination.fleet;

/** The reason for which this node calls an endpoint. */
public enum CallPurpose {
  /** The first attempt at a caller's request. */
  FIRST_SEND("first-send"),
  /** A retry of a caller's request, or a call that resumes its answer. */
  REPEATED_SEND("repeated-send"),
  /** A request that another engine forwards to the endpoint as a later hop of a path. */
  LATER_HOP("later-part"),
  /**
   * A request for the engine's report, because requests through the engine are stalled or it is
   * suspected.
   */
  HEALTH_CHECK("sign-of-life"),
  /** A request for the engine's report, because the engine may be slow. */
  PACE("pace"),
  /** A request for the engine's report, or an order, about the layers that the engine holds. */
  PLACEMENT("placement"),
  /** An order to change the path of a request that the engine runs. */
  PATH_CHANGE("path-change");

  private final String label;

  CallPurpose(String label) {
    this.label = label;
  }

  /** Returns whether such a call counts against the endpoint's rate limit. */
  boolean countsAgainstLimit() {
    return this != PLACEMENT && this != PATH_CHANGE;
  }

  /** Returns whether a request that is already at an endpoint depends on such a call. */
  boolean isUrgent() {
    return this == HEALTH_CHECK || this == PATH_CHANGE;
  }

  /** Returns the name of this purpose in metrics and logs. */
  public String label() {
    return label;
  }
}
