/**
 * Chooses the path of a request over engines that relay to one another.
 *
 * <p>The node sends such a request to the first engine together with the whole path, and the
 * engines pass activations on among themselves. Input: the fleet and the request's size. Used by
 * {@code forwarding}. Except for a planner's random source the package holds no state.
 */
package org.vaneworks.coordination.relay;
