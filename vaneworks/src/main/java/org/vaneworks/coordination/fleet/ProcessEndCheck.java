package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.function.Consumer;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Determines whether the process of an engine that has closed a connection has ended.
 *
 * <p>A refused probe shows that, also an earlier one if the engine has not answered since, unless
 * this node is cut off: then connections to all endpoints are refused, while those that were open
 * before may live on and end in order. In this case the answer waits for other evidence. The
 * process has ended if its entry goes or a later process is known. It runs if it answers once this
 * node reaches endpoints again, or if its entry outlives the time in which entries of ended
 * processes expire. What arrives over other connections proves nothing, as it may have been sent
 * before. Confined to the node's event loop.
 */
final class ProcessEndCheck {
  /**
   * Time after which the entry of a process that has ended is gone, with the time in which nodes
   * learn of it: three missed renewals of 1.2 s, and 1.75 s between two polls of a large fleet.
   */
  private static final Duration ENTRY_LIFETIME = Duration.ofMillis(5500);

  /** Maximum time for which other evidence is awaited. */
  private static final Duration MAX_WAIT = Duration.ofSeconds(8);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** Probes the engine; passes on whether its box, or a later process, answered in its place. */
  @FunctionalInterface
  interface EndProbe {
    void start(Consumer<Boolean> onProbed);
  }

  private final Executor clock;
  private final Fleet fleet;
  private final ReachabilityMonitor reachability;
  private final TrackedEndpoint engine;
  private final EndProbe probe;
  private final Consumer<Boolean> onChecked;
  private final long closedAt;

  /**
   * Creates a check of an engine that has closed a connection now.
   *
   * @param onChecked called once with whether the process may have ended
   */
  ProcessEndCheck(
      Executor clock,
      Fleet fleet,
      ReachabilityMonitor reachability,
      TrackedEndpoint engine,
      EndProbe probe,
      Consumer<Boolean> onChecked) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.reachability = checkNotNull(reachability);
    this.engine = checkNotNull(engine);
    this.probe = checkNotNull(probe);
    this.onChecked = checkNotNull(onChecked);
    closedAt = now();
  }

  void start() {
    probe.start(this::probed);
  }

  private void probed(boolean endShown) {
    // A refusal that precedes this probe holds until the engine answers; silence does not revoke
    // it.
    boolean down = endShown || engine.processDown();
    if (!down || engine.hasEnded()) {
      onChecked.accept(down);
      return;
    }
    reachability.confirmReach(
        engine,
        reached -> {
          if (reached) {
            onChecked.accept(true);
          } else {
            EventLog.info(Event.PROCESS_END_UNDECIDED, "endpoint", engine.endpoint().id());
            awaitEvidence();
          }
        });
  }

  private void awaitEvidence() {
    long expiredAt = closedAt + ENTRY_LIFETIME.toNanos();
    if (engine.hasEnded() || engine.delisted()) {
      onChecked.accept(true);
    } else if (fleet.isStillListed(engine, expiredAt, closedAt)) {
      onChecked.accept(false);
    } else if (!reachability.isIsolated()) {
      start();
    } else if (now() - closedAt >= MAX_WAIT.toNanos()) {
      onChecked.accept(true);
    } else {
      clock.schedule(this::awaitEvidence, CHECK_INTERVAL.toNanos(), NANOSECONDS);
    }
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
