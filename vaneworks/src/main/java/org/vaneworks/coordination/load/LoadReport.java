package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * What the requests of one node take of the endpoints; endpoints without any are left out.
 *
 * @param sender the box of the node
 * @param loads one entry an endpoint
 */
public record LoadReport(String sender, ImmutableList<EndpointLoad> loads) {
  /** Checks that both parts are given. */
  public LoadReport {
    checkNotNull(sender);
    checkNotNull(loads);
  }
}
