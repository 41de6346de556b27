package org.vaneworks.coordination.fleet;

/** Why this node calls an endpoint. */
public enum CallPurpose {
  /** A caller's request for the first time. */
  FIRST_SEND("first-send"),
  /** A caller's request once more, or the rest of its answer. */
  REPEATED_SEND("repeated-send"),
  /** A request that another engine passes on to it. */
  LATER_PART("later-part"),
  /** A question for its report, because requests through it stand still or it is suspected. */
  SIGN_OF_LIFE("sign-of-life"),
  /** A question for its report, because it may be slow. */
  PACE("pace"),
  /** A question for its report or an order, about the layers that it holds. */
  PLACEMENT("placement"),
  /** An order for another path of a request that it runs. */
  PATH_CHANGE("path-change");

  private final String label;

  CallPurpose(String label) {
    this.label = label;
  }

  /** Returns whether it is one of the requests a second that an endpoint may limit. */
  boolean countsAgainstLimit() {
    return this != PLACEMENT && this != PATH_CHANGE;
  }

  /** Returns whether a request that is already at an endpoint hangs on the call. */
  boolean isUrgent() {
    return this == SIGN_OF_LIFE || this == PATH_CHANGE;
  }

  /** Returns its name in meters and logs. */
  public String label() {
    return label;
  }
}
