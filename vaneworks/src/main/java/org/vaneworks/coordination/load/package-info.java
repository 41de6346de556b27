/**
 * What the requests of all nodes take of each endpoint.
 *
 * <p>Each node tells its peers in turn what its own requests take; what peers told is kept with the
 * endpoint, so that placing a request needs no message. Input: the fleet, the peers' addresses;
 * read by {@code relay} and {@code forwarding} through {@code TrackedEndpoint}. Confined to the
 * node's event loop.
 */
package org.vaneworks.coordination.load;
