package org.vaneworks.testlib.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;

/**
 * What an engine really holds: the memory of its streams, which grows as they write.
 *
 * <p>The memory of a stream is linear in time, so that of all is kept as one straight line.
 */
final class ModelEngine {
  private final AcceleratorProfile accelerator;
  private final double room;
  private final Deque<ModelStream> running = new ArrayDeque<>();
  private double atZero;
  private double perNano;

  ModelEngine(ModelProfile model, AcceleratorProfile accelerator, LayerRange held) {
    this.accelerator = accelerator;
    this.room = model.tokenLayerCapacity(accelerator, held.size());
  }

  AcceleratorProfile accelerator() {
    return accelerator;
  }

  int running() {
    return running.size();
  }

  /** Returns the part of the memory for requests that is in use. */
  double fill(long now) {
    return (atZero + perNano * now) / room;
  }

  double usedTokenLayers(long now) {
    return atZero + perNano * now;
  }

  /** Returns whether a prompt fits in now. */
  boolean hasRoom(long now, int promptTokens, int layers) {
    return atZero + perNano * now + (double) promptTokens * layers <= room;
  }

  void begin(ModelStream stream, int layers) {
    running.addLast(stream);
    atZero += stream.tokensAtZero() * layers;
    perNano += stream.tokensPerNano() * layers;
  }

  void end(ModelStream stream, int layers) {
    if (running.remove(stream)) {
      atZero -= stream.tokensAtZero() * layers;
      perNano -= stream.tokensPerNano() * layers;
    }
  }

  /** Returns the newest stream if memory has run out. */
  Optional<ModelStream> toPreempt(long now) {
    return fill(now) > 1 ? Optional.ofNullable(running.peekLast()) : Optional.empty();
  }
}
