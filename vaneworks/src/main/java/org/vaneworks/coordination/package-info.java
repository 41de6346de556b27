/**
 * Decisions: admission, routing, retries, pipelines, claims, membership, configuration spread.
 *
 * <p>Nothing here opens a socket, reads a wall clock or draws hidden randomness. The outside is
 * reached through functional interfaces, time through {@link io.servicetalk.concurrent.Executor}.
 *
 * <p>Lock order, outermost first: a stream's run, admission, the endpoint table, one endpoint's
 * state. Call-backs to callers and to the outside are made with no lock of an inner rank held.
 */
package org.vaneworks.coordination;
