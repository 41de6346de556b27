/**
 * The table of endpoints: their layers, health and load as known to this node.
 *
 * <p>Its inputs are the endpoint list, the outcomes of this node's calls, and health probes. It is
 * read by {@code relay}, {@code placement} and {@code forwarding}. All classes are confined to the
 * node's event loop.
 */
package org.vaneworks.coordination.fleet;
