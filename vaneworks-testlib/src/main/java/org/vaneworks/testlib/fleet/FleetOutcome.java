package org.vaneworks.testlib.fleet;

/**
 * The results of one simulation run.
 *
 * @param streams number of streams that callers started
 * @param late number of streams that started too late, were preempted or were not served
 * @param arrivals number of requests that reached engines
 * @param rejected number of requests that an engine rejected because its memory was full
 * @param preempted number of streams that an engine stopped because its memory ran out
 * @param spread standard deviation of the memory utilization of engines, relative to the mean of
 *     their kind in their data centre, averaged over time
 * @param worstSecondLate highest share of late streams among those started within one second
 * @param reportBytesPerNodeSecond bytes of load reports that each node sends per second
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
  /** Returns the share of streams that were late. */
  public double lateShare() {
    return (double) late / Math.max(1, streams);
  }

  /** Returns the share of arrivals that engines rejected. */
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
