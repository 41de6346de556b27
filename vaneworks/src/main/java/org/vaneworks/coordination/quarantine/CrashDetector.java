package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * Puts the end of an endpoint's process down to the requests that it had just begun.
 *
 * <p>A broken connection alone shows no end: links fail too. It counts once the endpoint's box
 * refuses connections, a later run of the endpoint shows, or the endpoint stops listing itself
 * without having announced that it leaves. Confined to the node's event loop.
 */
public final class CrashDetector {
  /** A request that has run for longer did not end the endpoint by being begun. */
  public static final Duration JUST_BEGUN = Duration.ofSeconds(1);

  /**
   * An end is put down to connections that broke this lately. An entry goes after three missed
   * renewals of 1.2 s, and a node of a large fleet asks for changes each 1.75 s.
   */
  private static final Duration KNOWN_WITHIN = Duration.ofSeconds(7);

  private record Lost(RequestStart start, long at) {}

  private final Executor clock;
  private final Consumer<EndpointCrash> onEnd;
  private final Map<TrackedEndpoint, List<Lost>> lostAt = new HashMap<>();

  private CrashDetector(Executor clock, Fleet fleet, Consumer<EndpointCrash> onEnd) {
    this.clock = checkNotNull(clock);
    this.onEnd = checkNotNull(onEnd);
    fleet.onProcessGone(this::processGone);
    fleet.onRemoval(this::removed);
  }

  /** Returns an observer of a fleet's endpoints that hands on each end that it puts down. */
  public static CrashDetector watch(Executor clock, Fleet fleet, Consumer<EndpointCrash> onEnd) {
    return new CrashDetector(clock, fleet, onEnd);
  }

  /**
   * Notes that an endpoint was lost while it had a request.
   *
   * @param start the request's start at that endpoint or its path
   * @param ranFor since the request was sent there, or since the first part of its answer
   */
  public void recordLoss(TrackedEndpoint endpoint, RequestStart start, Duration ranFor) {
    if (ranFor.compareTo(JUST_BEGUN) > 0) {
      return;
    }
    if (endpoint.processGone()) {
      tell(endpoint, start);
    } else if (!endpoint.delisted()) {
      lostAt
          .computeIfAbsent(endpoint, unknown -> new ArrayList<>())
          .add(new Lost(start, clock.currentTime(NANOSECONDS)));
    }
  }

  private void removed(TrackedEndpoint endpoint) {
    if (!endpoint.endpoint().leaving()) {
      processGone(endpoint);
    }
    lostAt.remove(endpoint);
  }

  private void processGone(TrackedEndpoint endpoint) {
    List<Lost> lost = lostAt.remove(endpoint);
    if (lost == null) {
      return;
    }
    long since = clock.currentTime(NANOSECONDS) - KNOWN_WITHIN.toNanos();
    lost.stream()
        .filter(request -> request.at() >= since)
        .forEach(request -> tell(endpoint, request.start()));
  }

  private void tell(TrackedEndpoint endpoint, RequestStart start) {
    if (start.takeEnd()) {
      onEnd.accept(new EndpointCrash(start.content(), endpoint.endpoint().run()));
    }
  }
}
