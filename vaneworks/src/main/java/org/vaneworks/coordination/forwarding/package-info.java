/**
 * Takes a caller's request to an endpoint and its answer back: admission, choice of the endpoint or
 * path, what may be sent again, continuing a broken stream, time limits.
 *
 * <p>{@code Forwarder} is called by the entry server for each request. Ports: {@code
 * EndpointTransport} towards endpoints, {@code CallerResponse} towards the caller. Confined to the
 * node's event loop.
 */
package org.vaneworks.coordination.forwarding;
