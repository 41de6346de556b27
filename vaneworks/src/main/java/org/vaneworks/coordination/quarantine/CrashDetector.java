package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.RequestContent;

/**
 * Attributes the crash of an endpoint's process to the requests that it had just begun.
 *
 * <p>A broken connection alone does not prove a crash, since links fail too. It counts as a crash
 * once the endpoint's box refuses connections, a later incarnation of the endpoint appears, or the
 * endpoint disappears from the list without having announced that it leaves. Confined to the node's
 * event loop.
 */
public final class CrashDetector {
  /**
   * Maximum running time of a request that is suspected of a crash. A request that ran for longer
   * did not crash the endpoint by its start.
   */
  public static final Duration MAX_REQUEST_AGE = Duration.ofSeconds(1);

  /**
   * Maximum time between a broken connection and the proof of the crash. A list entry expires after
   * three missed renewals of 1.2 s, and a node of a large fleet polls for changes every 1.75 s.
   */
  private static final Duration MAX_DETECTION_DELAY = Duration.ofSeconds(7);

  private record LostRequest(RequestStart start, long at) {}

  private final Executor clock;
  private final Consumer<ImmutableList<EndpointCrash>> onCrashes;
  private final Map<TrackedEndpoint, List<LostRequest>> lostRequests = new HashMap<>();

  /** When a loss was last recorded that may prove to be a crash. */
  private long lastLossAt;

  private CrashDetector(
      Executor clock, Fleet fleet, Consumer<ImmutableList<EndpointCrash>> onCrashes) {
    this.clock = checkNotNull(clock);
    this.onCrashes = checkNotNull(onCrashes);
    fleet.onProcessDown(this::processDown);
    fleet.onRemoval(this::endpointRemoved);
  }

  /**
   * Returns a detector that observes the endpoints of a fleet.
   *
   * @param onCrashes receives crashes that are attributed to requests, those of one incarnation
   *     together if they are known together
   */
  public static CrashDetector watch(
      Executor clock, Fleet fleet, Consumer<ImmutableList<EndpointCrash>> onCrashes) {
    return new CrashDetector(clock, fleet, onCrashes);
  }

  /**
   * Records that an endpoint was lost while it processed a request.
   *
   * @param start the start of the request at that endpoint or on its path
   * @param ranFor time since the request was sent there, or since the first part of its answer
   */
  public void recordLoss(TrackedEndpoint endpoint, RequestStart start, Duration ranFor) {
    if (ranFor.compareTo(MAX_REQUEST_AGE) > 0) {
      return;
    }
    if (endpoint.processDown()) {
      reportCrash(endpoint, ImmutableList.of(start));
    } else if (!endpoint.delisted()) {
      lastLossAt = clock.currentTime(NANOSECONDS);
      lostRequests
          .computeIfAbsent(endpoint, key -> new ArrayList<>())
          .add(new LostRequest(start, lastLossAt));
    }
  }

  /**
   * Returns whether a recent loss may prove to be a crash; if not, callers need not compute the
   * content of a request that is answered.
   */
  public boolean hasRecentLosses() {
    return !lostRequests.isEmpty() && lastLossAt >= oldestLoss();
  }

  /**
   * Discards the losses of a content that an endpoint answered since, or continued after it had
   * begun it: if those endpoints prove to have crashed, the crashes were before the answer.
   */
  public void recordAnswer(RequestContent content) {
    lostRequests.values().forEach(lost -> lost.removeIf(request -> request.start().has(content)));
    lostRequests.values().removeIf(List::isEmpty);
  }

  /** Discards losses that have another cause, as this node is cut off from the endpoints. */
  public void discardLosses() {
    lostRequests.clear();
  }

  private void endpointRemoved(TrackedEndpoint endpoint) {
    if (!endpoint.endpoint().leaving()) {
      processDown(endpoint);
    }
    lostRequests.remove(endpoint);
  }

  private void processDown(TrackedEndpoint endpoint) {
    List<LostRequest> lost = lostRequests.remove(endpoint);
    if (lost == null) {
      return;
    }
    long oldest = oldestLoss();
    reportCrash(
        endpoint,
        lost.stream()
            .filter(request -> request.at() >= oldest)
            .map(LostRequest::start)
            .collect(ImmutableList.toImmutableList()));
  }

  private long oldestLoss() {
    return clock.currentTime(NANOSECONDS) - MAX_DETECTION_DELAY.toNanos();
  }

  private void reportCrash(TrackedEndpoint endpoint, ImmutableList<RequestStart> starts) {
    ImmutableList<EndpointCrash> attributed =
        starts.stream()
            .filter(RequestStart::claimCrash)
            .map(start -> start.crashOf(endpoint.endpoint().incarnationId()))
            .collect(ImmutableList.toImmutableList());
    if (!attributed.isEmpty()) {
      onCrashes.accept(attributed);
    }
  }
}
