package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * The nodes that divide the limits of the fleet, as one of them sees them. Both functions are
 * called on the node's event loop.
 *
 * @param count returns the number of nodes, including this one
 * @param countedSince returns since when all others that forward requests count this node, in
 *     nanoseconds of its clock; empty while some may not
 */
public record SharingNodes(IntSupplier count, Supplier<OptionalLong> countedSince) {
  /** Checks that no component is null. */
  public SharingNodes {
    checkNotNull(count);
    checkNotNull(countedSince);
  }
}
