package org.vaneworks.coordination.queueing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;

/**
 * Start-time fair queueing: the virtual time and the finish tags of flows.
 *
 * <p>A request's start tag is the virtual time at its arrival or the finish tag of its flow,
 * whichever is greater. Its finish tag is greater than its start tag by its cost divided by the
 * flow's weight. Serving requests in the order of their start tags serves backlogged flows in
 * proportion to their weights, and a flow that was idle has no credit.
 *
 * <p>A request can be charged to its flow when it arrives, which fixes its start tag, or when it
 * starts; the flow then pays only for requests that start. A queue that charges at the start finds
 * the order of its requests with a {@link Forecast}. Not thread-safe.
 *
 * @param <F> identifies a flow; must be usable as a key of a hash map
 */
public final class FairShares<F> {
  private final Map<F, Double> finishTags = new HashMap<>();
  private double virtualTime;

  private FairShares() {}

  /** Returns an instance without flows at virtual time 0. */
  public static <F> FairShares<F> create() {
    return new FairShares<>();
  }

  /** Returns the virtual time: the greatest start tag that was served. */
  public double virtualTime() {
    return virtualTime;
  }

  /** Returns the number of flows whose finish tags are kept. */
  public int flows() {
    return finishTags.size();
  }

  /**
   * Returns the start tag of the next request of a flow.
   *
   * @param arrivedAt virtual time at the arrival of the request
   */
  public double startTag(F flow, double arrivedAt) {
    return startTag(finishTags, flow, arrivedAt);
  }

  /**
   * Charges a request to its flow and returns its start tag.
   *
   * @param arrivedAt virtual time at the arrival of the request
   * @param cost cost of the request; positive
   * @param weight weight of the flow; positive
   */
  public double charge(F flow, double arrivedAt, double cost, double weight) {
    return charge(finishTags, flow, arrivedAt, cost, weight);
  }

  /** Advances the virtual time to the start tag of a request that is served. */
  public void serve(double startTag) {
    virtualTime = Math.max(virtualTime, startTag);
  }

  /**
   * Removes a flow whose finish tag the virtual time has passed; it no longer affects the start tag
   * of a request that arrives now. The flow must have no waiting request that is not yet charged.
   *
   * @return whether the flow is absent now
   */
  public boolean removeIfPast(F flow) {
    Double finishTag = finishTags.get(flow);
    if (finishTag != null && finishTag > virtualTime) {
      return false;
    }
    finishTags.remove(flow);
    return true;
  }

  /** Removes all flows for which {@link #removeIfPast} would; no request may be waiting. */
  public void removePast() {
    finishTags.values().removeIf(finishTag -> finishTag <= virtualTime);
  }

  /** Removes all flows and sets the virtual time to 0. */
  public void reset() {
    finishTags.clear();
    virtualTime = 0;
  }

  /** Returns a forecast that starts from the current finish tags. */
  public Forecast forecast() {
    return new Forecast();
  }

  /** The start tags of waiting requests if each flow's requests start in a given order. */
  public final class Forecast {
    private final Map<F, Double> expectedFinishTags = new HashMap<>();

    private Forecast() {}

    /**
     * Returns the start tag of a request if the requests of its flow that were passed to this
     * method before start before it. Parameters as for {@link FairShares#charge}.
     */
    public double next(F flow, double arrivedAt, double cost, double weight) {
      expectedFinishTags.computeIfAbsent(flow, known -> finishTags.getOrDefault(known, 0.0));
      return charge(expectedFinishTags, flow, arrivedAt, cost, weight);
    }
  }

  private static <F> double startTag(Map<F, Double> finishTags, F flow, double arrivedAt) {
    return Math.max(arrivedAt, finishTags.getOrDefault(flow, 0.0));
  }

  private static <F> double charge(
      Map<F, Double> finishTags, F flow, double arrivedAt, double cost, double weight) {
    checkArgument(cost > 0, "cost must be positive: %s", cost);
    checkArgument(weight > 0, "weight must be positive: %s", weight);
    double start = startTag(finishTags, flow, arrivedAt);
    finishTags.put(flow, start + cost / weight);
    return start;
  }
}
