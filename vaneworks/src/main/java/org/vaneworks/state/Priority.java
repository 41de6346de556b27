package org.vaneworks.state;

/** The urgency of a request relative to others; scales the weight of its workspace. */
public enum Priority {
  HIGH(8),
  NORMAL(2),
  LOW(1);

  private final int factor;

  Priority(int factor) {
    this.factor = factor;
  }

  /** Returns the factor that the workspace's weight is multiplied by. */
  public int factor() {
    return factor;
  }
}
