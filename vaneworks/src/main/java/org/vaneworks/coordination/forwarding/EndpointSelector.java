package org.vaneworks.coordination.forwarding;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.vaneworks.coordination.fleet.CallPurpose;
import org.vaneworks.coordination.fleet.RequestSchedule;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.coordination.relay.LinkReservation;
import org.vaneworks.coordination.relay.PathPart;
import org.vaneworks.coordination.relay.PathPlanner;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.entry.LinkProfile;
import org.vaneworks.state.entry.ModelProfile;
import org.vaneworks.telemetry.Metric;

/**
 * Selects the endpoint of a request, either an engine path or a replica of a plain service, and
 * reserves capacity there.
 *
 * <p>Confined to the node's event loop.
 */
final class EndpointSelector {
  /** Time for which an overloaded engine gets no new requests, about the lag of its load report. */
  private static final Duration OVERLOAD_BACKOFF = Duration.ofMillis(200);

  /**
   * Time for which an engine that lacks the listed layers is avoided, until the list is updated.
   */
  private static final Duration MISDIRECTED_BACKOFF = Duration.ofMillis(800);

  private static final int MISDIRECTED = 421;
  private static final double NANOS_PER_SECOND = 1e9;

  private final ForwardContext context;
  private final String service;
  private final Optional<ModelProfile> model;
  private final RequestSize size;

  /** Target time to the first event of the response. */
  private final Duration objective;

  /** Present if a peer may be selected while this node reaches too few endpoints. */
  private final Optional<PeerSends> peerSends;

  private final Set<TrackedEndpoint> tried = new HashSet<>();
  private final Set<TrackedEndpoint> failed = new HashSet<>();
  private Optional<EnginePath> path = Optional.empty();
  private Optional<TrackedEndpoint> target = Optional.empty();
  private Optional<LinkReservation> links = Optional.empty();

  /**
   * Creates a selector without a selection.
   *
   * @param objective target time to the first event of the response
   * @param peerSends the request's sends to peers; empty if no peer may be selected
   */
  EndpointSelector(
      ForwardContext context,
      String service,
      Optional<ModelProfile> model,
      Optional<RequestSize> size,
      Duration objective,
      Optional<PeerSends> peerSends) {
    this.objective = objective;
    this.peerSends = peerSends;
    this.context = context;
    this.service = service;
    this.model = model;
    this.size = size.orElseGet(this::usualSize);
  }

  private RequestSize usualSize() {
    return model
        .map(profile -> new RequestSize(profile.usualPrompt(), profile.usualAnswer()))
        .orElseGet(() -> new RequestSize(0, 0));
  }

  /** Returns the number of tokens that the request is expected to take; 0 for a plain service. */
  int expectedTokens() {
    return model.isPresent() ? size.tokens() : 0;
  }

  /** Returns whether engines run the request, as opposed to a plain service. */
  boolean runsOnEngines() {
    return model.isPresent();
  }

  /** Returns the selected path; empty for a plain service or if nothing is selected. */
  Optional<EnginePath> path() {
    return path;
  }

  /** Returns the endpoint to which the request is sent; one must be selected. */
  TrackedEndpoint target() {
    return target.orElseThrow();
  }

  /** Returns whether an endpoint is selected. */
  boolean isSelected() {
    return target.isPresent();
  }

  boolean uses(TrackedEndpoint engine) {
    return path.isPresent() && path.get().contains(engine);
  }

  /** Returns the engines of the path that are suspected or have ended, in path order. */
  ImmutableList<TrackedEndpoint> lost() {
    return path.stream()
        .flatMap(selection -> selection.parts().stream())
        .map(PathPart::engine)
        .filter(engine -> engine.suspected() || engine.hasEnded())
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Records that the request failed at the selected endpoint, so that the next selection avoids it
   * if there is an alternative. Failure detection would be too late for this request.
   */
  void recordFailure() {
    target.ifPresent(failed::add);
  }

  /** Records that the request failed at an endpoint other than the selected one. */
  void recordFailure(TrackedEndpoint endpoint) {
    failed.add(endpoint);
  }

  /**
   * A selected endpoint.
   *
   * @param path the engine path; empty for a plain service
   * @param links what the request reserves on links between data centres; empty if nothing
   */
  record Selection(
      TrackedEndpoint target, Optional<EnginePath> path, Optional<LinkReservation> links) {
    static Selection of(EnginePath path) {
      return new Selection(path.first(), Optional.of(path), Optional.empty());
    }

    static Selection of(TrackedEndpoint target) {
      return new Selection(target, Optional.empty(), Optional.empty());
    }
  }

  /**
   * Selects an endpoint in place of the present one. Returns false, without any change, if none has
   * capacity now.
   */
  boolean select(EndpointFilter filter) {
    Optional<Selection> next = findReachable(filter);
    if (next.isPresent()) {
      release();
      assign(next.get());
    }
    return next.isPresent();
  }

  /**
   * Selects another endpoint and keeps the reservation at the present one, whose selection is
   * returned. Returns empty, without any change, if no other endpoint has capacity now.
   */
  Optional<Selection> selectAdditional(EndpointFilter filter) {
    Selection previous = present();
    Optional<Selection> next = findReachable(elsewhere(filter));
    next.ifPresent(this::assign);
    return next.map(selection -> previous);
  }

  /** Switches to another selection that is reserved; returns the present one, still reserved. */
  Selection exchange(Selection next) {
    Selection previous = present();
    target = Optional.of(next.target());
    path = next.path();
    links = next.links();
    return previous;
  }

  /** Releases the present selection and reverts to a previous one that is still reserved. */
  void revertTo(Selection previous) {
    release();
    target = Optional.of(previous.target());
    path = previous.path();
    links = previous.links();
  }

  /**
   * Returns whether the request may be sent to one of the allowed endpoints beside the present one.
   *
   * @param mayContinue whether the present attempt may continue, for which no endpoint that failed
   *     is selected
   */
  boolean isAnyUsableElsewhere(EndpointFilter filter, boolean mayContinue) {
    EndpointFilter others =
        mayContinue ? elsewhere(filter) : filter.excluding(ImmutableSet.of(target()));
    return !context.reachability().isIsolated() && isAnyUsable(others);
  }

  /** Returns whether one of the allowed endpoints may get new work, capacity aside. */
  boolean isAnyUsable(EndpointFilter filter) {
    return context.fleet().usable(service).stream().anyMatch(filter::allows);
  }

  private EndpointFilter elsewhere(EndpointFilter filter) {
    EndpointFilter others = filter.excluding(ImmutableSet.of(target()));
    return filter.isRestricted() ? others.excluding(failed) : others;
  }

  private Selection present() {
    return new Selection(target(), path, links);
  }

  /**
   * Finds an endpoint, or a peer if this node reaches too few endpoints; nothing while it is
   * checked whether it is isolated, or which peers take requests, as attempts would be wasted.
   */
  private Optional<Selection> findReachable(EndpointFilter filter) {
    ImmutableSet<TrackedEndpoint> inUse = filter.excluded();
    if (context.reachability().isChecking()) {
      return Optional.empty();
    }
    if (context.reachability().isIsolated() && isAnyPeerAvailable(inUse)) {
      return findPeer(filter);
    }
    if (context.reachability().isIsolatedBySilence()) {
      return Optional.empty();
    }
    if (filter.isRestricted()) {
      return findAllowed(filter);
    }
    Optional<Selection> direct = inUse.isEmpty() ? find() : findElsewhere(inUse);
    return direct.isEmpty() && isServiceLost() ? findPeer(filter) : direct;
  }

  /** Finds a peer; none for a restricted request, as it is unknown which endpoint a peer uses. */
  private Optional<Selection> findPeer(EndpointFilter filter) {
    return peerSends
        .filter(sends -> !filter.isRestricted())
        .flatMap(sends -> context.peers().select(sends.excluded(filter.excluded())))
        .map(Selection::of);
  }

  /** Returns whether a peer may take the request, now or once a peer that was asked responds. */
  private boolean isAnyPeerAvailable(Set<TrackedEndpoint> inUse) {
    return peerSends.isPresent() && context.peers().isAnyAvailable(peerSends.get().excluded(inUse));
  }

  /**
   * Returns whether no path is left because this node suspects engines, which its peers may reach.
   */
  private boolean isServiceLost() {
    return model.isPresent()
        && !context.fleet().coversAllLayers(service, model.get().layers())
        && context.fleet().listsAllLayers(service, model.get().layers());
  }

  /** Finds one of the allowed endpoints, preferably one that did not fail, or did not fail last. */
  private Optional<Selection> findAllowed(EndpointFilter filter) {
    if (!isAnyUsable(filter)) {
      return Optional.empty();
    }
    return Stream.of(filter.excluding(failed), filter.excludingLastTried(), filter)
        .map(this::findFirst)
        .flatMap(Optional::stream)
        .findFirst();
  }

  private Optional<Selection> findFirst(EndpointFilter filter) {
    if (model.isEmpty()) {
      return chooseReplica(filter::allows).map(Selection::of);
    }
    return context
        .planner()
        .plan(query(), usable(filter.excluded().asList()), filter::allows)
        .map(Selection::of);
  }

  private Optional<Selection> find() {
    if (model.isEmpty()) {
      return chooseReplica(replica -> true).map(Selection::of);
    }
    Optional<EnginePath> next =
        context.planner().plan(query(), usable(ImmutableList.copyOf(failed)));
    if (next.isEmpty() && !failed.isEmpty()) {
      next = context.planner().plan(query(), usable(ImmutableList.of()));
    }
    return next.map(Selection::of);
  }

  private Optional<Selection> findElsewhere(Set<TrackedEndpoint> inUse) {
    if (model.isEmpty()) {
      return find().filter(next -> !inUse.contains(next.target()));
    }
    return context
        .planner()
        .plan(query(), usable(ImmutableList.copyOf(Sets.union(failed, inUse))))
        .map(Selection::of);
  }

  private void assign(Selection next) {
    target = Optional.of(next.target());
    path = next.path();
    links = Optional.empty();
    if (path.isPresent()) {
      assign(path.get());
    } else {
      assign(next.target());
    }
    tried.add(next.target());
  }

  private void assign(EnginePath chosen) {
    recordSend(chosen.first());
    chosen.parts().stream()
        .map(PathPart::engine)
        .filter(engine -> engine != chosen.first())
        .forEach(this::recordLaterPart);
    chosen.reserve(size.tokens());
    links = reserveLinks(chosen);
  }

  /**
   * Reserves the links that a path crosses. As a link is crossed only if it passes all that is
   * reserved within the objective, the prompt has passed it by then, even if an engine behind it
   * has ended and no event follows.
   */
  private Optional<LinkReservation> reserveLinks(EnginePath chosen) {
    if (linkProfile().isEmpty()) {
      return Optional.empty();
    }
    LinkReservation reservation =
        LinkReservation.reserve(context.fleet().links(), linkProfile().get(), chosen, size);
    if (reservation.isEmpty()) {
      return Optional.empty();
    }
    context.clock().schedule(reservation::recordPromptPassed, objective);
    return Optional.of(reservation);
  }

  private Optional<LinkProfile> linkProfile() {
    return model.flatMap(ModelProfile::link);
  }

  /** Records that a part of the response arrived from the selected endpoint. */
  void recordPart() {
    links.ifPresent(LinkReservation::recordPromptPassed);
  }

  private void assign(TrackedEndpoint replica) {
    recordSend(replica);
    replica.reserve(0);
  }

  private void recordSend(TrackedEndpoint endpoint) {
    if (endpoint.isPeer()) {
      return;
    }
    CallPurpose purpose = tried.isEmpty() ? CallPurpose.FIRST_SEND : CallPurpose.REPEATED_SEND;
    context.fleet().signals().recordCall(endpoint, purpose);
  }

  private void recordLaterPart(TrackedEndpoint engine) {
    context.fleet().signals().recordCall(engine, CallPurpose.LATER_HOP);
  }

  /** Returns when the endpoints of the service accept requests again, capacity aside. */
  RequestSchedule requestSchedule() {
    if (context.reachability().isChecking() || canUsePeer()) {
      return RequestSchedule.ALWAYS;
    }
    if (context.reachability().isIsolatedBySilence()) {
      return RequestSchedule.NEVER;
    }
    return model
        .map(profile -> context.fleet().requestSchedule(service, profile.layers()))
        .orElseGet(() -> context.fleet().requestSchedule(service));
  }

  private boolean canUsePeer() {
    return (context.reachability().isIsolated() || isServiceLost())
        && isAnyPeerAvailable(ImmutableSet.of());
  }

  /** Returns an alternative path with the same first part that avoids the given engines. */
  Optional<EnginePath> alternativePath(ImmutableList<TrackedEndpoint> excluded) {
    PathPart first = path.orElseThrow().parts().get(0);
    return context.planner().replan(query(), usable(excluded), first);
  }

  /**
   * Reserves capacity at the engines that an alternative path adds, until it is accepted or not.
   *
   * @return withdraws the reservation
   */
  Runnable reserveAlternative(EnginePath alternative) {
    return alternative.reserveBeyond(path.orElseThrow(), size.tokens());
  }

  /** Returns the engine of the same service at the given address. */
  Optional<TrackedEndpoint> engineAt(HostPort address) {
    return context.fleet().find(service, address);
  }

  /**
   * Avoids the endpoint that prevented the request from running for a while, and returns it.
   *
   * @param sentAt when the request was sent
   */
  TrackedEndpoint recordObstacle(ResponseHead refused, long sentAt) {
    TrackedEndpoint obstacle = refused.obstacle().flatMap(this::engineAt).orElseGet(this::target);
    boolean misdirected = refused.status() == MISDIRECTED;
    if (isReplica(obstacle) && !misdirected) {
      obstacle.recordRefusal(sentAt, now());
    } else {
      Duration pause = misdirected ? MISDIRECTED_BACKOFF : OVERLOAD_BACKOFF;
      obstacle.avoidUntil(now() + pause.toNanos());
    }
    if (misdirected && obstacle.endpoint().incarnation().isKnown()) {
      // The engine may have restarted without layers; its report shows that before the list does.
      context.health().check(obstacle);
    }
    obstacle.recordShortage(now());
    return obstacle;
  }

  /** Switches to another path with the same first engine. */
  void replace(EnginePath next) {
    EnginePath previous = path.orElseThrow();
    previous.release(size.tokens());
    next.reserve(size.tokens());
    links.ifPresent(LinkReservation::release);
    links = reserveLinks(next);
    next.parts().stream()
        .map(PathPart::engine)
        .filter(engine -> !previous.contains(engine))
        .forEach(this::recordLaterPart);
    path = Optional.of(next);
  }

  /** Releases the present selection. */
  void release() {
    if (isSelected()) {
      release(present());
    }
    path = Optional.empty();
    target = Optional.empty();
    links = Optional.empty();
  }

  /** Releases the reservation of a previous selection. */
  void release(Selection selection) {
    selection.links().ifPresent(LinkReservation::release);
    if (selection.path().isPresent()) {
      selection.path().get().release(size.tokens());
    } else {
      selection.target().release(0);
    }
  }

  private ImmutableList<TrackedEndpoint> usable(ImmutableList<TrackedEndpoint> excluded) {
    return context.fleet().usable(service).stream()
        .filter(engine -> !excluded.contains(engine))
        .collect(ImmutableList.toImmutableList());
  }

  private PathPlanner.Query query() {
    return new PathPlanner.Query(
        model.orElseThrow(), size, context.dataCentre(), now(), this::hasLinkRoom);
  }

  /**
   * Returns whether a link passes this request and all that requests reserve on it within the
   * objective. A request that crosses a fuller link, and those behind it, would start late. An
   * empty link takes any request.
   */
  private boolean hasLinkRoom(String from, String to) {
    if (linkProfile().isEmpty()) {
      return true;
    }
    LinkProfile link = linkProfile().get();
    double reserved = context.fleet().links().reservedMegabits(from, to);
    double megabits = reserved + size.tokens() * link.megabitsPerToken();
    double passed = link.megabitsPerSecond() * objective.toNanos() / NANOS_PER_SECOND;
    boolean room = reserved == 0 || megabits <= passed;
    if (!room) {
      context.counters().count(Metric.FULL_LINKS, isSelected() ? "replacement" : "start");
    }
    return room;
  }

  private long now() {
    return context.clock().currentTime(NANOSECONDS);
  }

  /** Returns the replica at which the request is expected to be answered first. */
  private Optional<TrackedEndpoint> chooseReplica(Predicate<TrackedEndpoint> allowed) {
    ImmutableList<TrackedEndpoint> all = context.fleet().usable(service);
    ReplicaChoice amongAll = choiceAmong(all);
    for (int i = 0; i < all.size(); i++) {
      all.get(i).setReplicaSlowness(amongAll.slownessToReport(i));
    }
    ImmutableList<TrackedEndpoint> replicas =
        all.stream().filter(allowed).collect(ImmutableList.toImmutableList());
    ReplicaChoice choice = replicas.size() == all.size() ? amongAll : choiceAmong(replicas);
    double peers = replicas.stream().mapToDouble(TrackedEndpoint::similarPeers).max().orElse(0);
    OptionalInt chosen = choice.choose(peers, now(), context.random());
    return chosen.isPresent() ? Optional.of(replicas.get(chosen.getAsInt())) : Optional.empty();
  }

  private ReplicaChoice choiceAmong(ImmutableList<TrackedEndpoint> replicas) {
    return ReplicaChoice.among(
        replicas.stream().map(this::candidate).collect(ImmutableList.toImmutableList()));
  }

  private ReplicaChoice.Candidate candidate(TrackedEndpoint replica) {
    boolean connected = context.transport().hasIdleConnection(replica.address());
    return ReplicaChoice.Candidate.of(replica, tried.contains(replica), connected, now());
  }

  /** Records that the selected endpoint answered the request. */
  void recordServed(RunningAttempt attempt) {
    if (isReplica(attempt.endpoint())) {
      attempt.recordServed(now());
    }
  }

  /** Records that the request ended before the selected endpoint answered. */
  void recordUnfinished(RunningAttempt attempt) {
    if (isReplica(attempt.endpoint())) {
      attempt.recordUnfinished(now());
    }
  }

  private boolean isReplica(TrackedEndpoint endpoint) {
    return model.isEmpty() && !endpoint.isPeer();
  }
}
