/**
 * Fair queueing: how the start tags of requests share a resource among flows.
 *
 * <p>Used by the admission control of {@code vaneworksd} and by the capacity queues of the
 * forwarding node; depends on no other package.
 */
package org.vaneworks.coordination.queueing;
