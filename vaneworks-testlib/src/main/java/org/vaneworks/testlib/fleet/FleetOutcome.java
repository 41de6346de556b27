package org.vaneworks.testlib.fleet;

/**
 * What a run of the model showed.
 *
 * @param streams streams that callers began
 * @param late those that did not begin in time, were stopped for want of memory or were not served
 * @param arrivals requests that reached engines
 * @param rejected those that an engine rejected for want of memory
 * @param preempted streams that an engine stopped for want of memory
 * @param spread standard deviation of the engines' fill around that of their kind in their data
 *     centre, mean over time
 * @param worstSecondLate part of the streams that were late among those begun in the worst second
 * @param reportBytesPerNodeSecond bytes of load reports that a node sends a second
 */
public record FleetOutcome(
    int streams,
    int late,
    int arrivals,
    int rejected,
    int preempted,
    double spread,
    double worstSecondLate,
    double reportBytesPerNodeSecond) {
  /** Returns the part of the streams that were late. */
  public double lateShare() {
    return (double) late / Math.max(1, streams);
  }

  /** Returns the part of the arrivals that engines rejected. */
  public double rejectedShare() {
    return (double) rejected / Math.max(1, arrivals);
  }

  @Override
  public String toString() {
    return String.format(
        "streams %d late %.3f (worst second %.3f) rejected %.3f preempted %d spread %.3f"
            + " report bytes %.0f",
        streams,
        lateShare(),
        worstSecondLate,
        rejectedShare(),
        preempted,
        spread,
        reportBytesPerNodeSecond);
  }
}
