package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Decides whether this node may be the controller, which assigns layers to engines.
 *
 * <p>A node that does not reach the endpoints takes engines for lost that the other nodes use, and
 * would have others load their layers. It may not control while it is isolated, nor while peers
 * serve requests for which it found no path itself. Confined to the node's event loop.
 */
final class ControlEligibility {
  /** Time without help of peers after which this node may control again. */
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(3);

  private final Executor clock;
  private final Consumer<Boolean> mayControl;
  private boolean isolated;
  private boolean helped;
  private long helpedAt;
  private boolean eligible = true;

  /**
   * Creates an instance for a node that may control.
   *
   * @param mayControl receives each change
   */
  ControlEligibility(Executor clock, Consumer<Boolean> mayControl) {
    this.clock = checkNotNull(clock);
    this.mayControl = checkNotNull(mayControl);
  }

  void isolationChanged(boolean nowIsolated) {
    isolated = nowIsolated;
    update();
  }

  /** Records that a peer served a request for which this node found no path. */
  void servedByPeer() {
    helpedAt = clock.currentTime(NANOSECONDS);
    if (!helped) {
      helped = true;
      update();
      checkLater(RECOVERY_TIME.toNanos());
    }
  }

  private void checkLater(long nanos) {
    clock.schedule(this::check, nanos, NANOSECONDS);
  }

  private void check() {
    long remaining = helpedAt + RECOVERY_TIME.toNanos() - clock.currentTime(NANOSECONDS);
    if (remaining > 0) {
      checkLater(remaining);
    } else {
      helped = false;
      update();
    }
  }

  private void update() {
    boolean next = !isolated && !helped;
    if (next != eligible) {
      eligible = next;
      mayControl.accept(next);
    }
  }
}
