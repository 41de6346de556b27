package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Properties of one kind of accelerator, as configured by the operator.
 *
 * @param name name of the kind, for example {@code l40s}
 * @param megabytes memory for layers and requests together, in megabytes
 * @param stepFactor time of a step on this accelerator, as a multiple of the model's step time
 * @param readFactor time to read a prompt on this accelerator, as a multiple of the model's
 */
public record AcceleratorProfile(
    String name, double megabytes, double stepFactor, double readFactor) {
  /** Checks that all numbers are positive. */
  public AcceleratorProfile {
    checkArgument(megabytes > 0, "megabytes of %s must be positive: %s", name, megabytes);
    checkArgument(stepFactor > 0, "stepFactor of %s must be positive: %s", name, stepFactor);
    checkArgument(readFactor > 0, "readFactor of %s must be positive: %s", name, readFactor);
  }
}
