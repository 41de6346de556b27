/**
 * The decision logic of a node: admission, routing, retries, pipelines, claims, membership and the
 * replication of the configuration.
 *
 * <p>The code in this package and its subpackages opens no sockets, reads no wall clock and creates
 * no random generators. It accesses external services through functional interfaces, and time
 * through {@link io.servicetalk.concurrent.Executor}.
 *
 * <p>Lock order, outermost first: the run of a stream, admission, the endpoint table, the state of
 * one endpoint. Callbacks to callers and to external services are invoked without holding any of
 * the inner locks.
 */
package org.vaneworks.coordination;
