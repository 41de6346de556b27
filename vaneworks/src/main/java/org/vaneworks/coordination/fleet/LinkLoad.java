package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What the requests of one node or group still have to pass over a link between data centres.
 *
 * @param linkKey short key of the link, see {@link DataCentreLinks#keyOf}
 * @param megabits the data that the requests reserve
 */
public record LinkLoad(int linkKey, double megabits) {
  /** Checks that the load is not negative. */
  public LinkLoad {
    checkArgument(megabits >= 0, "megabits must not be negative: %s", megabits);
  }
}
