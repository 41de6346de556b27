package org.vaneworks.tests.forwarding;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import org.vaneworks.testlib.PausedExecutor;

/**
 * A paused clock for tests of package-private classes. These tests are in packages of the core,
 * which do not depend on testlib ({@code LayersTest}).
 */
public final class PausedClock {
  private final PausedExecutor executor = PausedExecutor.create();

  private PausedClock() {}

  /** Returns a clock that starts at 0. */
  public static PausedClock create() {
    return new PausedClock();
  }

  /** Returns the executor, whose tasks run while the clock advances. */
  public Executor executor() {
    return executor;
  }

  /** Advances the clock and runs each task at its due time. */
  public void advance(Duration by) {
    executor.advance(by);
  }
}
