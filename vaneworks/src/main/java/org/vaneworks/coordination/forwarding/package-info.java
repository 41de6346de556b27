/**
 * Forwards callers' requests to endpoints and returns the responses: admission, selection of an
 * endpoint or engine path, retries, resumption of interrupted streams, and deadlines.
 *
 * <p>{@code Forwarder} is called by the entry server for each request. Ports: {@code
 * EndpointTransport} for endpoints, {@code CallerResponse} for callers. Confined to the node's
 * event loop.
 */
package org.vaneworks.coordination.forwarding;
