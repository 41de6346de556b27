/**
 * Decides which requests are quarantined because endpoints crash when they begin to process them.
 *
 * <p>Input: the requests during which an endpoint was lost, the endpoints known to have crashed,
 * and the crashes that other nodes recorded in the shared store. Queried by {@code forwarding}
 * before a request is sent. Confined to the node's event loop.
 */
package org.vaneworks.coordination.quarantine;
