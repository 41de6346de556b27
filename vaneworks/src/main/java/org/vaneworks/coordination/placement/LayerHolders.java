package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.fleet.CallPurpose;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.EngineReport;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.LayerRange;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * Asks engines whether they hold certain layers and are not about to give them up.
 *
 * <p>Confined to the node's event loop.
 */
final class LayerHolders {
  private final Executor clock;
  private final Fleet fleet;
  private final EngineControl control;
  private final Duration callTimeout;
  private final Function<TrackedEndpoint, Optional<LayerRange>> assigned;
  private final Counters counters;

  /**
   * Creates an instance.
   *
   * @param assigned the layers that this node assigned to an engine and that the list of endpoints
   *     does not show yet, if any
   */
  LayerHolders(
      Executor clock,
      Fleet fleet,
      EngineControl control,
      Duration callTimeout,
      Function<TrackedEndpoint, Optional<LayerRange>> assigned,
      Counters counters) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.control = checkNotNull(control);
    this.callTimeout = checkNotNull(callTimeout);
    this.assigned = checkNotNull(assigned);
    this.counters = checkNotNull(counters);
  }

  /**
   * Confirms that other engines of an engine's data centre hold layers that it is to give up.
   *
   * @param onDone called once, after this method has returned, with the layers that no other engine
   *     was confirmed to hold
   */
  void confirm(
      TrackedEndpoint engine,
      ImmutableSet<Integer> layers,
      Consumer<ImmutableSet<Integer>> onDone) {
    ImmutableList<TrackedEndpoint> holders =
        fleet.listed(engine.endpoint().service()).stream()
            .filter(other -> other != engine && other.serving())
            .filter(other -> isInDataCentreOf(engine, other) && isListedWithAny(other, layers))
            .filter(other -> fleet.signals().admits(other, CallPurpose.PLACEMENT))
            .collect(ImmutableList.toImmutableList());
    if (holders.isEmpty()) {
      clock.execute(() -> onDone.accept(layers));
      return;
    }
    Confirmation confirmation = new Confirmation(layers, holders.size(), onDone);
    holders.forEach(holder -> ask(holder, confirmation));
  }

  private static boolean isInDataCentreOf(TrackedEndpoint engine, TrackedEndpoint other) {
    return other.endpoint().dataCentre().equals(engine.endpoint().dataCentre());
  }

  private static boolean isListedWithAny(TrackedEndpoint engine, ImmutableSet<Integer> layers) {
    return engine
        .endpoint()
        .layers()
        .filter(range -> layers.stream().anyMatch(layer -> contains(range, layer)))
        .isPresent();
  }

  private static boolean contains(LayerRange range, int layer) {
    return layer >= range.from() && layer < range.to();
  }

  private void ask(TrackedEndpoint holder, Confirmation confirmation) {
    counters.count(Metric.ENGINE_QUESTIONS, "placement");
    fleet.signals().recordCall(holder, CallPurpose.PLACEMENT);
    Async.onDone(
        control.report(holder.endpoint(), callTimeout),
        clock,
        (report, failure) ->
            confirmation.answered(
                Optional.ofNullable(report).flatMap(answer -> retained(holder, answer))));
  }

  /** Returns the layers that an engine holds and keeps, according to its report. */
  private Optional<LayerRange> retained(TrackedEndpoint holder, EngineReport report) {
    boolean sameRun = fleet.reconcileIncarnation(holder, report.incarnation());
    if (!sameRun || report.orderInProgress() || !holder.serving()) {
      return Optional.empty();
    }
    Optional<LayerRange> next = assigned.apply(holder);
    return report
        .layers()
        .flatMap(held -> next.isPresent() ? held.intersection(next.get()) : Optional.of(held));
  }

  /** The answers to one question to several engines. */
  private static final class Confirmation {
    private final Set<Integer> unconfirmed;
    private final Consumer<ImmutableSet<Integer>> onDone;
    private int pendingAnswers;

    Confirmation(
        ImmutableSet<Integer> layers, int pendingAnswers, Consumer<ImmutableSet<Integer>> onDone) {
      this.unconfirmed = new HashSet<>(layers);
      this.pendingAnswers = pendingAnswers;
      this.onDone = onDone;
    }

    /** Records the layers that an engine keeps; empty if it keeps none or did not answer. */
    void answered(Optional<LayerRange> retained) {
      retained.ifPresent(range -> unconfirmed.removeIf(layer -> contains(range, layer)));
      pendingAnswers--;
      if (pendingAnswers == 0) {
        onDone.accept(ImmutableSet.copyOf(unconfirmed));
      }
    }
  }
}
