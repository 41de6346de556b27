/**
 * Membership of {@code vaneworksd} nodes, and the messages that nodes exchange.
 *
 * <p>Determines which nodes are alive, suspected or dead, and which nodes perform a task, from
 * pings, the gossip that they carry, and the seed addresses. Used by the wiring of the node, by
 * at-most-once delivery and by configuration replication.
 */
package org.vaneworks.coordination.membership;
