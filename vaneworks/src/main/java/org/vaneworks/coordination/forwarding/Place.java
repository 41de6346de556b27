package org.vaneworks.coordination.forwarding;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.vaneworks.coordination.fleet.CallPurpose;
import org.vaneworks.coordination.fleet.Openings;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.coordination.relay.PathPart;
import org.vaneworks.coordination.relay.PathPlanner;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.entry.ModelProfile;

/**
 * Where a request runs: a path of engines, or a replica of a plain service; and what it takes
 * there.
 *
 * <p>Confined to the node's event loop.
 */
final class Place {
  /** An engine that said that it is full gets nothing new for its report's lag. */
  private static final Duration FULL_PAUSE = Duration.ofMillis(200);

  /** An engine that does not hold what the list says is left alone until the list is newer. */
  private static final Duration MISPLACED_PAUSE = Duration.ofMillis(800);

  private static final int MISDIRECTED = 421;

  private final ForwardContext context;
  private final String service;
  private final Optional<ModelProfile> model;
  private final RequestSize size;
  private final Set<TrackedEndpoint> tried = new HashSet<>();
  private final Set<TrackedEndpoint> failed = new HashSet<>();
  private Optional<EnginePath> path = Optional.empty();
  private Optional<TrackedEndpoint> target = Optional.empty();

  Place(
      ForwardContext context,
      String service,
      Optional<ModelProfile> model,
      Optional<RequestSize> size) {
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

  /** Returns whether engines run the request. */
  boolean onEngines() {
    return model.isPresent();
  }

  /** Returns the path, while the request has one. */
  Optional<EnginePath> path() {
    return path;
  }

  /** Returns the endpoint that the request is sent to; there must be one. */
  TrackedEndpoint target() {
    return target.orElseThrow();
  }

  /** Returns whether the request has a place. */
  boolean isTaken() {
    return target.isPresent();
  }

  boolean passes(TrackedEndpoint engine) {
    return path.isPresent() && path.get().contains(engine);
  }

  /** Returns the engines of the path that are believed dead, the first one first. */
  ImmutableList<TrackedEndpoint> suspected() {
    return path.stream()
        .flatMap(taken -> taken.parts().stream())
        .map(PathPart::engine)
        .filter(TrackedEndpoint::suspected)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Notes that the request failed at the endpoint it was sent to: the next place is elsewhere if
   * there is another. Whether the endpoint is dead shows a moment later, which is too late for this
   * request.
   */
  void failedHere() {
    target.ifPresent(failed::add);
  }

  /**
   * What a request takes.
   *
   * @param path empty at a plain service
   */
  record Taken(TrackedEndpoint target, Optional<EnginePath> path) {}

  /**
   * Takes a place, and leaves the one that the request has; returns false if there is none now, and
   * then changes nothing.
   */
  boolean take() {
    Optional<Taken> next = find();
    if (next.isPresent()) {
      release();
      begin(next.get());
    }
    return next.isPresent();
  }

  /**
   * Takes a place at another endpoint beside the one that the request has, and returns the latter,
   * which goes on to be taken; returns empty if there is none now, and then changes nothing.
   */
  Optional<Taken> takeBeside() {
    Taken former = new Taken(target(), path);
    Optional<Taken> next = findElsewhere();
    next.ifPresent(this::begin);
    return next.map(taken -> former);
  }

  /** Leaves the present place for one that has been taken before, and still is. */
  void returnTo(Taken former) {
    release();
    target = Optional.of(former.target());
    path = former.path();
  }

  private Optional<Taken> find() {
    if (model.isEmpty()) {
      return leastLoaded().map(replica -> new Taken(replica, Optional.empty()));
    }
    Optional<EnginePath> next =
        context.planner().plan(query(), usable(ImmutableList.copyOf(failed)));
    if (next.isEmpty() && !failed.isEmpty()) {
      next = context.planner().plan(query(), usable(ImmutableList.of()));
    }
    return next.map(found -> new Taken(found.first(), Optional.of(found)));
  }

  private Optional<Taken> findElsewhere() {
    if (model.isEmpty()) {
      return find().filter(next -> next.target() != target());
    }
    return context
        .planner()
        .plan(query(), usable(ImmutableList.copyOf(Sets.union(failed, ImmutableSet.of(target())))))
        .map(found -> new Taken(found.first(), Optional.of(found)));
  }

  private void begin(Taken next) {
    target = Optional.of(next.target());
    path = next.path();
    if (path.isPresent()) {
      begin(path.get());
    } else {
      begin(next.target());
    }
    tried.add(next.target());
  }

  private void begin(EnginePath chosen) {
    noteSend(chosen.first());
    chosen.parts().stream()
        .map(PathPart::engine)
        .filter(engine -> engine != chosen.first())
        .forEach(this::noteLaterPart);
    chosen.reserve(size.tokens());
  }

  private void begin(TrackedEndpoint replica) {
    noteSend(replica);
    replica.reserve(0);
  }

  private void noteSend(TrackedEndpoint endpoint) {
    CallPurpose purpose = tried.isEmpty() ? CallPurpose.FIRST_SEND : CallPurpose.REPEATED_SEND;
    context.fleet().statements().noteCall(endpoint, purpose);
  }

  private void noteLaterPart(TrackedEndpoint engine) {
    context.fleet().statements().noteCall(engine, CallPurpose.LATER_PART);
  }

  /** Returns when requests may begin at the service's endpoints if they have room. */
  Openings openings() {
    return model
        .map(profile -> context.fleet().openings(service, profile.layers()))
        .orElseGet(() -> context.fleet().openings(service));
  }

  /** Returns a path with the same first part that avoids some engines. */
  Optional<EnginePath> another(ImmutableList<TrackedEndpoint> without) {
    PathPart first = path.orElseThrow().parts().get(0);
    return context.planner().replan(query(), usable(without), first);
  }

  /** Returns the engine of the same service at an address. */
  Optional<TrackedEndpoint> engineAt(HostPort address) {
    return context.fleet().at(service, address);
  }

  /** Leaves the endpoint alone that was in the way of a request, and returns it. */
  TrackedEndpoint noteObstacle(AnswerHead refused) {
    TrackedEndpoint obstacle = refused.obstacle().flatMap(this::engineAt).orElseGet(this::target);
    boolean misdirected = refused.status() == MISDIRECTED;
    Duration pause = misdirected ? MISPLACED_PAUSE : FULL_PAUSE;
    obstacle.avoidUntil(now() + pause.toNanos());
    if (misdirected && obstacle.endpoint().incarnation().isTold()) {
      // It may have started again and hold nothing; its report tells so before the list does.
      context.health().check(obstacle);
    }
    obstacle.noteShortage(now());
    return obstacle;
  }

  /** Goes on over another path with the same first engine. */
  void replace(EnginePath next) {
    EnginePath former = path.orElseThrow();
    former.release(size.tokens());
    next.reserve(size.tokens());
    next.parts().stream()
        .map(PathPart::engine)
        .filter(engine -> !former.contains(engine))
        .forEach(this::noteLaterPart);
    path = Optional.of(next);
  }

  /** Leaves the place. */
  void release() {
    target.ifPresent(taken -> release(new Taken(taken, path)));
    path = Optional.empty();
    target = Optional.empty();
  }

  /** Leaves a place that was taken beside the present one. */
  void release(Taken taken) {
    if (taken.path().isPresent()) {
      taken.path().get().release(size.tokens());
    } else {
      taken.target().release(0);
    }
  }

  private ImmutableList<TrackedEndpoint> usable(ImmutableList<TrackedEndpoint> without) {
    return context.fleet().usable(service).stream()
        .filter(engine -> !without.contains(engine))
        .collect(ImmutableList.toImmutableList());
  }

  private PathPlanner.Query query() {
    return new PathPlanner.Query(model.orElseThrow(), size, context.dataCentre(), now());
  }

  private long now() {
    return context.clock().currentTime(NANOSECONDS);
  }

  /** Returns the replica with the fewest requests, those not yet tried first. */
  private Optional<TrackedEndpoint> leastLoaded() {
    Optional<TrackedEndpoint> best = Optional.empty();
    double bestLoad = Double.MAX_VALUE;
    for (TrackedEndpoint replica : context.fleet().usable(service)) {
      double load = replica.requestsOfAll() + context.random().nextDouble();
      load += tried.contains(replica) ? replica.endpoint().slots() : 0;
      if (load < bestLoad) {
        best = Optional.of(replica);
        bestLoad = load;
      }
    }
    return best;
  }
}
