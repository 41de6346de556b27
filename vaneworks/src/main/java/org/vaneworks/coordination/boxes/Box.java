package org.vaneworks.coordination.boxes;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.HostPort;

/**
 * A box in the platform's list.
 *
 * @param name its name
 * @param role what runs on it
 * @param address where that listens: peers' address of an entry box, else the endpoint's
 * @param dataCentre where it stands
 * @param leaving whether it is about to go
 */
public record Box(String name, Role role, HostPort address, String dataCentre, boolean leaving) {
  /** What runs on a box. */
  public enum Role {
    ENTRY,
    ENDPOINT
  }

  /** Checks that every part is given. */
  public Box {
    checkArgument(!name.isEmpty(), "a box must be named");
    checkNotNull(role);
    checkNotNull(address);
    checkNotNull(dataCentre);
  }
}
