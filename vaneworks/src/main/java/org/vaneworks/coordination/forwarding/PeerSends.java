package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.Verdict;
import org.vaneworks.telemetry.Metric;

/**
 * The sends of one request to peers. Those that peers declined, or that reached no peer, are no
 * attempts: the request has not run, and each takes a few milliseconds.
 *
 * <p>Confined to the node's event loop.
 */
final class PeerSends {
  /** Sends that reached no peer, or that peers declined for reasons of this request, at most. */
  private static final int MAX_FAILED_SENDS = 10;

  /** Time without progress after which a stream is sent to another peer as well. */
  private static final Duration STALL_TIMEOUT = Duration.ofMillis(700);

  /** The same before the head of the response, as the request may wait for capacity there. */
  private static final Duration HEAD_TIMEOUT = Duration.ofMillis(1200);

  private final ForwardContext context;
  private final String service;

  /** The peers that declined this request, but would take others. */
  private final Set<TrackedEndpoint> declinedBy = new HashSet<>();

  private int uncounted;
  private int failed;

  PeerSends(ForwardContext context, String service) {
    this.context = checkNotNull(context);
    this.service = checkNotNull(service);
  }

  /**
   * Returns what a peer is told with the request; empty for an endpoint.
   *
   * @param waitingSince since when the caller has been waiting for the next part of the response
   */
  Optional<PeerHop> hopTo(TrackedEndpoint endpoint, boolean continues, long waitingSince) {
    if (!endpoint.isPeer()) {
      return Optional.empty();
    }
    context.counters().count(Metric.PEER_HOPS, "sent");
    Duration waited = Duration.ofNanos(context.clock().currentTime(NANOSECONDS) - waitingSince);
    return Optional.of(new PeerHop(context.peers().tokenOf(endpoint), service, continues, waited));
  }

  /** Records what the refusal of a peer says about it. */
  void recordRefusal(TrackedEndpoint peer, PeerRefusal refusal) {
    if (refusal.verdict() != Verdict.NOT_RUN) {
      return;
    }
    if (refusal.concernsPeer()) {
      context.peers().recordDeclined(peer);
    } else if (refusal.isDeclined()) {
      declinedBy.add(peer);
      failed++;
    } else {
      context.peers().recordReaches(peer);
    }
  }

  /** Records that a send reached no peer. */
  void recordNotConnected() {
    failed++;
  }

  /** Records that a send is no attempt. */
  void recordUncounted() {
    uncounted++;
  }

  /** Returns the number of sends that are no attempts. */
  int uncounted() {
    return uncounted;
  }

  /** Returns whether the request should not be sent to peers again. */
  boolean isExhausted() {
    return failed >= MAX_FAILED_SENDS;
  }

  /** Returns the peers that are not selected: those given, and those that declined the request. */
  Set<TrackedEndpoint> excluded(Set<TrackedEndpoint> inUse) {
    return declinedBy.isEmpty() ? inUse : ImmutableSet.copyOf(Sets.union(inUse, declinedBy));
  }

  /** Returns whether a peer has been silent for so long that another one should be tried. */
  static boolean isSilent(Duration sinceProgress, boolean headSent) {
    return sinceProgress.compareTo(headSent ? STALL_TIMEOUT : HEAD_TIMEOUT) >= 0;
  }
}
