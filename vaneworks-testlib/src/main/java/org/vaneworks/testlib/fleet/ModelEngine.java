package org.vaneworks.testlib.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;

/**
 * The actual memory of an engine, which grows while its streams generate tokens.
 *
 * <p>The memory of each stream is a linear function of time, so the sum over all streams is kept as
 * one linear function: its value at time 0 and its slope.
 */
final class ModelEngine {
  private final AcceleratorProfile accelerator;
  private final double capacity;
  private final Deque<ModelStream> running = new ArrayDeque<>();
  private double tokenLayersAtZero;
  private double tokenLayersPerNano;

  ModelEngine(ModelProfile model, AcceleratorProfile accelerator, LayerRange held) {
    this.accelerator = accelerator;
    this.capacity = model.tokenLayerCapacity(accelerator, held.size());
  }

  AcceleratorProfile accelerator() {
    return accelerator;
  }

  int running() {
    return running.size();
  }

  /** Returns the share of the request memory that is in use. */
  double utilization(long now) {
    return (tokenLayersAtZero + tokenLayersPerNano * now) / capacity;
  }

  double usedTokenLayers(long now) {
    return tokenLayersAtZero + tokenLayersPerNano * now;
  }

  /** Returns whether a prompt currently fits into the remaining memory. */
  boolean hasCapacity(long now, int promptTokens, int layers) {
    return tokenLayersAtZero + tokenLayersPerNano * now + (double) promptTokens * layers
        <= capacity;
  }

  void start(ModelStream stream, int layers) {
    running.addLast(stream);
    tokenLayersAtZero += stream.tokensAtZero() * layers;
    tokenLayersPerNano += stream.tokensPerNano() * layers;
  }

  void end(ModelStream stream, int layers) {
    if (running.remove(stream)) {
      tokenLayersAtZero -= stream.tokensAtZero() * layers;
      tokenLayersPerNano -= stream.tokensPerNano() * layers;
    }
  }

  /** Returns the newest stream if the memory is overcommitted. */
  Optional<ModelStream> preemptionCandidate(long now) {
    return utilization(now) > 1 ? Optional.ofNullable(running.peekLast()) : Optional.empty();
  }
}
