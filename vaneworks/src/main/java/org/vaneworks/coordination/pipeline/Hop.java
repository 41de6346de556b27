package org.vaneworks.coordination.pipeline;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.endpoints.SessionId;

/**
 * The part of a running stream that one engine computes: its session, and the step inputs from
 * which the session can be rebuilt on another engine.
 *
 * <p>Not thread-safe; guarded by the lock of the {@link StreamRun}.
 */
final class Hop {
  private final EndpointState engine;
  private final SessionId session;
  private final List<String> inputs;
  private int stepsRun;
  private boolean released;

  private Hop(EndpointState engine, SessionId session, List<String> inputs, int stepsRun) {
    this.engine = engine;
    this.session = session;
    this.inputs = new ArrayList<>(inputs);
    this.stepsRun = stepsRun;
  }

  /** Returns a hop with a new session that has run no step. */
  static Hop create(EndpointState engine, SessionId session) {
    return new Hop(engine, session, ImmutableList.of(), 0);
  }

  /** Returns a hop whose session is to be rebuilt from the inputs of the lost hop. */
  static Hop replacementFor(Hop lost, EndpointState engine, SessionId session) {
    return new Hop(engine, session, lost.inputs, 0);
  }

  /** Returns a hop whose session was imported from the engine of another hop. */
  static Hop importedFrom(Hop source, EndpointState engine, SessionId session) {
    return new Hop(engine, session, source.inputs, source.stepsRun);
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

  void recordStep(int step) {
    stepsRun = step + 1;
  }

  /** Stores the input of a step unless it is already stored; a resent step has the same input. */
  void storeInput(int step, String input) {
    if (inputs.size() == step) {
      inputs.add(input);
    }
  }

  String input(int step) {
    return inputs.get(step);
  }

  /** Returns whether the inputs of all steps before the given one are stored. */
  boolean hasInputsBefore(int step) {
    return inputs.size() >= step;
  }

  /** Stores the inputs of earlier steps, as recomputed by the previous hop, if none are stored. */
  void restoreInputs(List<String> history) {
    if (inputs.isEmpty()) {
      inputs.addAll(history);
    }
  }

  /** Returns the inputs that the session must replay before it can run the step. */
  ImmutableList<String> inputsToReplay(int step) {
    return stepsRun == step ? ImmutableList.of() : ImmutableList.copyOf(inputs.subList(0, step));
  }

  /** Marks the session as released; returns whether it was not released before. */
  boolean markReleased() {
    boolean newlyReleased = !released;
    released = true;
    return newlyReleased;
  }

  /** Discards the stored inputs to free memory; only a whole new route can then be rebuilt. */
  void discardInputs() {
    inputs.clear();
  }
}
