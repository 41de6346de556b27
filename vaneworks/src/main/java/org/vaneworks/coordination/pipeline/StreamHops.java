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
 * The hops of one running stream, in layer order, and the epoch of the newest.
 *
 * <p>Each change of hops counts the stream in and out on the engines and ends the sessions that are
 * given up. Not thread-safe; the stream's lock guards it.
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

  /** Takes the first route, on whose engines admission has counted the stream in. */
  void begin(PlannedRoute route) {
    hops = fresh(route);
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

  /** Returns whether no hop ran any step yet. */
  boolean neverRan() {
    return hops.stream().allMatch(hop -> hop.stepsRun() == 0);
  }

  /**
   * Keeps a step's input for a rebuild, within bounds.
   *
   * <p>The first hop's inputs are the prompt and the tokens, which a whole new route can always be
   * rebuilt from; only the other hops' inputs are given up when they grow too large.
   */
  void remember(Hop hop, int step, String input) {
    hop.input(step, input);
    replayCharacters += input.length();
    if (replayCharacters > replayLimit) {
      // A hop that is yet to be rebuilt still needs them.
      hops.stream().skip(1).filter(each -> each.stepsRun() > 0).forEach(Hop::forgetInputs);
      replayCharacters = 0;
    }
  }

  /**
   * Gives the place of a lost hop back; what could rebuild it is kept.
   *
   * <p>While it counts on its engine, the engine could not be probed, nor this stream return there.
   */
  void lose(int index) {
    giveUp(hops.get(index));
  }

  /** Puts a route over the same layers in place of one lost hop, under a new epoch. */
  void replace(int index, PlannedRoute part, int step) {
    epoch++;
    Hop lost = hops.get(index);
    List<Hop> replacement = inPlaceOf(lost, part);
    hops.remove(index);
    hops.addAll(index, replacement);
    giveUp(lost);
    log(step, replacement.size());
  }

  /** Puts a whole new route in place of all hops, under a new epoch. */
  void replaceAll(PlannedRoute route, int step) {
    epoch++;
    List<Hop> old = hops;
    hops = inPlaceOf(old.get(0), route);
    old.forEach(this::giveUp);
    log(step, hops.size());
  }

  private List<Hop> inPlaceOf(Hop lost, PlannedRoute route) {
    List<Hop> replacement = fresh(route);
    Hop first = replacement.get(0);
    replacement.set(0, Hop.inPlaceOf(lost, first.engine(), first.session()));
    replacement.forEach(hop -> hop.engine().streamStarted());
    return replacement;
  }

  private void log(int step, int count) {
    EventLog.info(Event.HOP_REPLACED, "stream", id, "epoch", epoch, "step", step, "hops", count);
  }

  /** Names a session for a move to another engine, under a new epoch, and counts the stream in. */
  SessionId beginMove(EndpointState target) {
    epoch++;
    target.streamStarted();
    return sessionOn(target);
  }

  /** Puts the session that was imported in place of a hop. */
  void endMove(int index, EndpointState target, SessionId session) {
    Hop from = hops.get(index);
    hops.set(index, Hop.importedFrom(from, target, session));
    giveUp(from);
    EventLog.info(Event.HOP_MOVED, "stream", id, "epoch", epoch, "to", target.endpoint().id());
  }

  /** Takes a move back that did not succeed; the stream stays where it is. */
  void undoMove(EndpointState target, SessionId session) {
    giveUp(Hop.fresh(target, session));
  }

  /** Ends every session. */
  void release() {
    hops.forEach(this::giveUp);
    hops = new ArrayList<>();
  }

  private List<Hop> fresh(PlannedRoute route) {
    List<Hop> fresh = new ArrayList<>();
    for (EndpointState engine : route.engines()) {
      fresh.add(Hop.fresh(engine, sessionOn(engine)));
    }
    return fresh;
  }

  private SessionId sessionOn(EndpointState engine) {
    return new SessionId(id, epoch, engine.endpoint().layers().get());
  }

  private void giveUp(Hop hop) {
    if (!hop.giveUp()) {
      return;
    }
    hop.engine().streamEnded();
    // Best effort: an engine that can't be reached frees an idle session by its own timeout.
    Async.ignore(client.end(hop.engine().endpoint(), hop.session()));
  }
}
