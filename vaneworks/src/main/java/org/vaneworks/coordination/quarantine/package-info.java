/**
 * Decides which requests are held back because endpoints end when they begin them.
 *
 * <p>Input: under which requests an endpoint was lost, and which endpoints are known to have ended;
 * what other nodes saw, through the shared store. Asked by {@code forwarding} before a request is
 * sent. Confined to the node's event loop.
 */
package org.vaneworks.coordination.quarantine;
