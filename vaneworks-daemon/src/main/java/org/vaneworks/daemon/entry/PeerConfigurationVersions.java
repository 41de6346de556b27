package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Tracks the newest configuration version that peers have reported.
 *
 * <p>A store that was restored from a backup may return an older configuration. A node that reads
 * the configuration for the first time after the restore would then accept revoked keys. Confined
 * to the node's event loop.
 */
final class PeerConfigurationVersions {
  /**
   * A version that no peer has reported for this long is ignored, as no live node has it. Each node
   * receives several reports in this time, even in a fleet of 350 nodes.
   */
  private static final Duration REPORT_MAX_AGE = Duration.ofSeconds(10);

  private final Executor clock;
  private long newest;
  private long firstReportedAt;
  private long lastReportedAt;
  private boolean storeBehind;

  PeerConfigurationVersions(Executor clock) {
    this.clock = checkNotNull(clock);
  }

  /** Records the configuration version that a peer has reported. */
  void recordVersion(long version) {
    long now = now();
    if (version > newest || isExpired(now)) {
      newest = version;
      firstReportedAt = now;
    }
    if (version == newest) {
      lastReportedAt = now;
    }
  }

  /**
   * Returns whether the store is behind the peers: the store confirmed an older version in response
   * to a call that was started after a peer had reported the newer version. A change that is still
   * on its way to this node does not count, as no such call has been answered.
   *
   * @param version the configuration version of this node
   * @param confirmedAt the start time of the latest answered call, on the node's clock
   */
  boolean storeIsBehind(long version, long confirmedAt) {
    boolean isBehind = version < newest && confirmedAt > firstReportedAt && !isExpired(now());
    if (isBehind && !storeBehind) {
      EventLog.warn(Event.CONFIGURATION_BEHIND_PEERS, "version", version, "peers", newest);
    }
    storeBehind = isBehind;
    return isBehind;
  }

  private boolean isExpired(long now) {
    return now - lastReportedAt > REPORT_MAX_AGE.toNanos();
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
