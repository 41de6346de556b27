package org.vaneworks.coordination.boxes;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.HostPort;

/**
 * A box in the platform's list.
 *
 * @param name name of the box
 * @param role what runs on the box
 * @param address the peer address of an entry node, or the address of an endpoint
 * @param dataCentre data centre of the box
 * @param leaving whether the box is about to be removed
 */
public record Box(String name, Role role, HostPort address, String dataCentre, boolean leaving) {
  /** What runs on a box. */
  public enum Role {
    ENTRY,
    ENDPOINT
  }

  /** Checks that the name is not empty and no component is null. */
  public Box {
    checkArgument(!name.isEmpty(), "box name must not be empty");
    checkNotNull(role);
    checkNotNull(address);
    checkNotNull(dataCentre);
  }
}
