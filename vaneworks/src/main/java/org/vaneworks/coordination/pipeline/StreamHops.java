package org.vaneworks.coordination.pipeline;

import java.util.ArrayList;
import java.util.List;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.endpoints.EndpointClient;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.endpoints.SessionId;
import org.vaneworks.coordination.routing.RoutePlanner.PlannedRoute;
import org.vaneworks.state.StreamId;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * The hops of one running stream, in layer order, and the epoch of the most recent change.
 *
 * <p>Each change updates the in-flight counts of the affected engines and ends sessions that are no
 * longer used. Not thread-safe; guarded by the lock of the {@link StreamRun}.
 */
final class StreamHops {
  private final StreamId id;
  private final EndpointClient client;
  private final int replayLimit;
  private List<Hop> hops = new ArrayList<>();
  private int epoch = 1;
  private int replayCharacters;

  StreamHops(StreamId id, EndpointClient client, int replayLimit) {
    this.id = id;
    this.client = client;
    this.replayLimit = replayLimit;
  }

  /** Sets the initial route. Admission has already incremented the counts of its engines. */
  void start(PlannedRoute route) {
    hops = createHops(route);
  }

  Hop get(int index) {
    return hops.get(index);
  }

  int size() {
    return hops.size();
  }

  int epoch() {
    return epoch;
  }

  /** Returns whether no hop has run a step yet. */
  boolean neverRan() {
    return hops.stream().allMatch(hop -> hop.stepsRun() == 0);
  }

  /**
   * Stores the input of a step for a later rebuild.
   *
   * <p>If the stored inputs exceed the limit, those of all hops but the first are discarded. The
   * inputs of the first hop are the prompt and the tokens, from which a whole new route can always
   * be rebuilt.
   */
  void storeInput(Hop hop, int step, String input) {
    hop.storeInput(step, input);
    replayCharacters += input.length();
    if (replayCharacters > replayLimit) {
      // A hop whose session is yet to be rebuilt still needs its inputs.
      hops.stream().skip(1).filter(other -> other.stepsRun() > 0).forEach(Hop::discardInputs);
      replayCharacters = 0;
    }
  }

  /**
   * Releases the session of a lost hop, keeping the inputs from which it can be rebuilt.
   *
   * <p>As long as the stream counts as in flight on the engine, the engine can't be probed and the
   * stream can't return to it.
   */
  void releaseLost(int index) {
    releaseHop(hops.get(index));
  }

  /** Replaces one lost hop by a route over the same layers, under a new epoch. */
  void replace(int index, PlannedRoute route, int step) {
    commitReplacement(index, prepareReplacement(index, route), step);
  }

  /**
   * Returns hops over the layers of one hop, under a new epoch, and counts them on their engines;
   * the hop itself remains in use.
   */
  List<Hop> prepareReplacement(int index, PlannedRoute route) {
    epoch++;
    return replacementFor(hops.get(index), route);
  }

  /** Releases the sessions of a replacement that was prepared but is not used. */
  void discardReplacement(List<Hop> replacement) {
    replacement.forEach(this::releaseHop);
  }

  /** Replaces one hop by hops that were prepared for it. */
  void commitReplacement(int index, List<Hop> replacement, int step) {
    Hop lost = hops.get(index);
    hops.remove(index);
    hops.addAll(index, replacement);
    releaseHop(lost);
    logReplacement(step, replacement.size());
  }

  /** Replaces all hops by a new route, under a new epoch. */
  void replaceAll(PlannedRoute route, int step) {
    epoch++;
    List<Hop> previous = hops;
    hops = replacementFor(previous.get(0), route);
    previous.forEach(this::releaseHop);
    logReplacement(step, hops.size());
  }

  private List<Hop> replacementFor(Hop lost, PlannedRoute route) {
    List<Hop> replacement = createHops(route);
    Hop first = replacement.get(0);
    replacement.set(0, Hop.replacementFor(lost, first.engine(), first.session()));
    replacement.forEach(hop -> hop.engine().streamStarted());
    return replacement;
  }

  private void logReplacement(int step, int count) {
    EventLog.info(Event.HOP_REPLACED, "stream", id, "epoch", epoch, "step", step, "hops", count);
  }

  /** Returns the session for a migration to the target, under a new epoch, and counts it there. */
  SessionId beginMigration(EndpointState target) {
    epoch++;
    target.streamStarted();
    return newSession(target);
  }

  /** Replaces a hop by the imported session. */
  void completeMigration(int index, EndpointState target, SessionId session) {
    Hop source = hops.get(index);
    hops.set(index, Hop.importedFrom(source, target, session));
    releaseHop(source);
    EventLog.info(Event.HOP_MOVED, "stream", id, "epoch", epoch, "to", target.endpoint().id());
  }

  /** Releases the session of a failed migration; the stream continues on its current engine. */
  void abortMigration(EndpointState target, SessionId session) {
    releaseHop(Hop.create(target, session));
  }

  /** Ends all sessions. */
  void releaseAll() {
    hops.forEach(this::releaseHop);
    hops = new ArrayList<>();
  }

  private List<Hop> createHops(PlannedRoute route) {
    List<Hop> created = new ArrayList<>();
    for (EndpointState engine : route.engines()) {
      created.add(Hop.create(engine, newSession(engine)));
    }
    return created;
  }

  private SessionId newSession(EndpointState engine) {
    return new SessionId(id, epoch, engine.endpoint().layers().get());
  }

  private void releaseHop(Hop hop) {
    if (!hop.markReleased()) {
      return;
    }
    hop.engine().streamEnded();
    // Best effort: an unreachable engine frees idle sessions after its own timeout.
    Async.ignore(client.end(hop.engine().endpoint(), hop.session()));
  }
}
