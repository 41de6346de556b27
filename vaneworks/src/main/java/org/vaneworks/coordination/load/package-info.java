/**
 * The exchange of load reports between nodes.
 *
 * <p>Each node reports the load of its own requests to its peers in turn. Reported loads are kept
 * with the endpoints, so that placing a request needs no message. Inputs are the fleet and the
 * peers' addresses; {@code relay} and {@code forwarding} read the results through {@code
 * TrackedEndpoint}. Confined to the node's event loop.
 */
package org.vaneworks.coordination.load;
