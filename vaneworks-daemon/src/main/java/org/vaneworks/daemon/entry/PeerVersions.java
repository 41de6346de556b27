package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Which version of the configuration peers have seen.
 *
 * <p>A store that came back from an older copy may confirm a configuration that is not the newest:
 * a node that reads it first then would honour keys that were taken away. Confined to the node's
 * event loop.
 */
final class PeerVersions {
  /**
   * A version that no peer has told for this long counts no more: no live node has seen it. Each
   * node is told several times in it, also at 350.
   */
  private static final Duration TOLD_WITHIN = Duration.ofSeconds(10);

  private final Executor clock;
  private long newest;
  private long firstToldAt;
  private long lastToldAt;
  private boolean behind;

  PeerVersions(Executor clock) {
    this.clock = checkNotNull(clock);
  }

  /** Takes the version that a peer has seen. */
  void heard(long version) {
    long now = now();
    if (version > newest || isOld(now)) {
      newest = version;
      firstToldAt = now;
    }
    if (version == newest) {
      lastToldAt = now;
    }
  }

  /**
   * Returns whether the store is behind what a peer has seen: it confirmed an older version in
   * answer to a call that was asked since. While changes only take their way to this node it has
   * not been asked yet.
   *
   * @param version this node's
   * @param confirmedAt when the newest answered call was asked, on the clock
   */
  boolean storeIsBehind(long version, long confirmedAt) {
    boolean now = version < newest && confirmedAt > firstToldAt && !isOld(now());
    if (now && !behind) {
      EventLog.warn(Event.CONFIGURATION_BEHIND_PEERS, "version", version, "peers", newest);
    }
    behind = now;
    return now;
  }

  private boolean isOld(long now) {
    return now - lastToldAt > TOLD_WITHIN.toNanos();
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
