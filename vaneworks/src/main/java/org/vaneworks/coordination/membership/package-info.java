/**
 * Which nodes of {@code vaneworksd} there are, and what they tell each other.
 *
 * <p>Decides who is live, suspected or gone, and which nodes a duty falls on. Input: heartbeats and
 * what they carry, the seeds. Asked by the node's wiring, by at-most-once delivery and by the
 * spread of configurations.
 */
package org.vaneworks.coordination.membership;
