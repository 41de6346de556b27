package org.vaneworks.state;

/** How urgent a request is beside others; multiplies its workspace's share. */
public enum Priority {
  HIGH(8),
  NORMAL(2),
  LOW(1);

  private final int factor;

  Priority(int factor) {
    this.factor = factor;
  }

  /** Returns the factor on the workspace's weight. */
  public int factor() {
    return factor;
  }
}
