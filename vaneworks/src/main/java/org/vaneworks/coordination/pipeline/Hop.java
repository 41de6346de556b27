package org.vaneworks.coordination.pipeline;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.endpoints.SessionId;

/**
 * One engine's part of a running stream: its session, and the inputs that could rebuild it.
 *
 * <p>Not thread-safe; the stream's lock guards it.
 */
final class Hop {
  private final EndpointState engine;
  private final SessionId session;
  private final List<String> inputs;
  private int stepsRun;
  private boolean givenUp;

  private Hop(EndpointState engine, SessionId session, List<String> inputs, int stepsRun) {
    this.engine = engine;
    this.session = session;
    this.inputs = new ArrayList<>(inputs);
    this.stepsRun = stepsRun;
  }

  /** Returns a hop whose session is yet to be opened. */
  static Hop fresh(EndpointState engine, SessionId session) {
    return new Hop(engine, session, ImmutableList.of(), 0);
  }

  /** Returns a hop whose session is yet to be rebuilt from the inputs that another hop had. */
  static Hop inPlaceOf(Hop lost, EndpointState engine, SessionId session) {
    return new Hop(engine, session, lost.inputs, 0);
  }

  /** Returns a hop into which another's session was imported. */
  static Hop importedFrom(Hop moved, EndpointState engine, SessionId session) {
    return new Hop(engine, session, moved.inputs, moved.stepsRun);
  }

  EndpointState engine() {
    return engine;
  }

  SessionId session() {
    return session;
  }

  int stepsRun() {
    return stepsRun;
  }

  void ranThrough(int step) {
    stepsRun = step + 1;
  }

  /** Remembers the input of a step; a step that is sent again has the same input. */
  void input(int step, String input) {
    if (inputs.size() == step) {
      inputs.add(input);
    }
  }

  String input(int step) {
    return inputs.get(step);
  }

  /** Returns whether the inputs of all steps before the given one are known. */
  boolean knowsInputsBefore(int step) {
    return inputs.size() >= step;
  }

  /** Takes the inputs of the steps before, which the hop before this one put out again. */
  void adoptHistory(List<String> history) {
    if (inputs.isEmpty()) {
      inputs.addAll(history);
    }
  }

  /** Returns what the session misses before it can run the step. */
  ImmutableList<String> missingBefore(int step) {
    return stepsRun == step ? ImmutableList.of() : ImmutableList.copyOf(inputs.subList(0, step));
  }

  /** Marks the session as given up for good; returns whether this was news. */
  boolean giveUp() {
    boolean news = !givenUp;
    givenUp = true;
    return news;
  }

  /** Forgets the inputs, so that only a whole new route can rebuild; frees their memory. */
  void forgetInputs() {
    inputs.clear();
  }
}
