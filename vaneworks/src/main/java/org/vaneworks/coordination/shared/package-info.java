/**
 * State that nodes share through the platform's store: watches on key prefixes and the freshness of
 * the resulting view, the leases of live nodes, and the lease of the elected controller.
 *
 * <p>{@code SharedStore} is the interface that store clients implement. Unless stated otherwise,
 * all types are confined to the node's event loop.
 */
package org.vaneworks.coordination.shared;
