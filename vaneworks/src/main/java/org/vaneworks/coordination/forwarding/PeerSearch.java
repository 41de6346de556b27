package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Finds peers that take requests, by requests that are sent to peers of which nothing is known.
 *
 * <p>Nodes lose their links to endpoints together, most often those of a data centre. So a peer
 * that declines makes others of its data centre less promising, and one that takes a request makes
 * them more promising. Few requests search at the same time, and the others wait for what they find
 * out. The search pauses after many declines, as no node may reach an endpoint: then requests must
 * neither circulate among the nodes nor wait.
 *
 * <p>Confined to the node's event loop. Times are nanoseconds of the node's clock.
 */
final class PeerSearch {
  /** Peers that have a request and may still decline it, at most. */
  private static final int MAX_CONCURRENT = 3;

  /** Number of peers that take requests from which on no more are searched. */
  private static final int ENOUGH_PEERS = 4;

  /** Minimum time between two searches while a peer takes requests. */
  private static final Duration EXPLORATION_INTERVAL = Duration.ofMillis(250);

  /** Declines, without a peer that takes a request in between, after which the search pauses. */
  private static final int DECLINES_UNTIL_PAUSE = 24;

  /** The number of declines that one of a peer counts for that had declined before. */
  private static final int REPEATED_DECLINE_WEIGHT = 8;

  private static final Duration PAUSE = Duration.ofSeconds(1);

  private final Counters counters;
  private int declines;
  private long pausedUntil = Long.MIN_VALUE;
  private long exploredAt = Long.MIN_VALUE / 2;

  PeerSearch(Counters counters) {
    this.counters = checkNotNull(counters);
  }

  /** Returns whether a search may find a peer now. */
  boolean mayFind(Collection<PeerCandidate> candidates, long now) {
    return now >= pausedUntil
        && candidates.stream()
            .anyMatch(peer -> !peer.hasDeclined(now) || peer.mayBeAskedAgain(now));
  }

  /**
   * Returns the peer to search next, if any.
   *
   * @param taking the number of peers that take requests
   * @param others the remaining peers
   */
  Optional<PeerCandidate> next(int taking, List<PeerCandidate> others, long now) {
    boolean explores = taking > 0;
    if (now < pausedUntil
        || others.stream().filter(peer -> peer.isAsked(now)).count() >= MAX_CONCURRENT
        || (explores && !mayExplore(taking, now))) {
      return Optional.empty();
    }
    Optional<PeerCandidate> unknown = mostPromising(others, now);
    if (explores) {
      unknown.ifPresent(peer -> exploredAt = now);
      return unknown;
    }
    return unknown.or(() -> lastChoice(others, now));
  }

  private boolean mayExplore(int taking, long now) {
    return taking < ENOUGH_PEERS && now - exploredAt >= EXPLORATION_INTERVAL.toNanos();
  }

  /** Returns the unknown peer of the data centre whose peers take requests most likely. */
  private static Optional<PeerCandidate> mostPromising(List<PeerCandidate> peers, long now) {
    Map<String, Integer> unavailable = new HashMap<>();
    for (PeerCandidate peer : peers) {
      boolean counts = peer.hasDeclined(now) || peer.hasFailed(now) || peer.isPending(now);
      unavailable.merge(peer.dataCentre(), counts ? 1 : 0, Integer::sum);
    }
    return peers.stream()
        .filter(peer -> peer.isUnknown(now))
        .min(
            Comparator.comparing((PeerCandidate peer) -> unavailable.get(peer.dataCentre()))
                .thenComparing(PeerCandidate::isRemote)
                .thenComparing(PeerCandidate::order));
  }

  /**
   * Returns a peer that has not responded yet, one that failed a moment ago, or the one whose
   * decline is the longest ago.
   */
  private static Optional<PeerCandidate> lastChoice(List<PeerCandidate> peers, long now) {
    return peers.stream()
        .filter(peer -> !peer.isAsked(now))
        .filter(peer -> !peer.hasDeclined(now) || peer.mayBeAskedAgain(now))
        .min(
            Comparator.comparing((PeerCandidate peer) -> peer.hasDeclined(now))
                .thenComparing(peer -> peer.hasFailed(now))
                .thenComparing(PeerCandidate::declinedAt)
                .thenComparing(peer -> peer.endpoint().inFlight())
                .thenComparing(PeerCandidate::order));
  }

  /** Records that a peer takes requests. */
  void found(TrackedEndpoint peer) {
    if (declines > 0) {
      EventLog.info(Event.PEER_FOUND, "peer", peer, "declines", declines);
    }
    declines = 0;
    pausedUntil = Long.MIN_VALUE;
  }

  /**
   * Records that a peer declined.
   *
   * @param repeated whether that was expected, as it had declined before
   */
  void declined(boolean repeated, long now) {
    counters.count(Metric.PEER_HOPS, "declined");
    declines += repeated ? REPEATED_DECLINE_WEIGHT : 1;
    if (declines >= DECLINES_UNTIL_PAUSE) {
      counters.count(Metric.PEER_HOPS, "paused");
      EventLog.warn(Event.PEER_SEARCH_PAUSED, "pauseMs", PAUSE.toMillis());
      declines = 0;
      pausedUntil = now + PAUSE.toNanos();
    }
  }
}
