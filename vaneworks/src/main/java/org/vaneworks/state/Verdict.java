package org.vaneworks.state;

/** Whether a request, or a part of it, ran on an endpoint. */
public enum Verdict {
  /** No part ran; a {@link NotRunProof} gives the evidence. */
  NOT_RUN,
  /** It is unknown whether any part ran. */
  MAY_HAVE_RUN,
  /** At least one part is known to have run. */
  RAN;

  /** Returns the verdict on a request of which two parts have this verdict and the other one. */
  public Verdict and(Verdict other) {
    if (this == RAN || other == RAN) {
      return RAN;
    }
    return this == MAY_HAVE_RUN || other == MAY_HAVE_RUN ? MAY_HAVE_RUN : NOT_RUN;
  }
}
