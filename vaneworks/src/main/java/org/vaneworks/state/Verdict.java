package org.vaneworks.state;

/** Says whether a request, or a part of it, may have run on an endpoint. */
public enum Verdict {
  /** No part ran, and a {@link NotRunProof} says how that is known. */
  NOT_RUN,
  /** Some part may have run; whether it did is not known. */
  MAY_HAVE_RUN,
  /** At least one part is known to have run. */
  RAN;

  /** Returns the weaker claim of the two: what may be said of a request made of both parts. */
  public Verdict and(Verdict other) {
    if (this == RAN || other == RAN) {
      return RAN;
    }
    return this == MAY_HAVE_RUN || other == MAY_HAVE_RUN ? MAY_HAVE_RUN : NOT_RUN;
  }
}
