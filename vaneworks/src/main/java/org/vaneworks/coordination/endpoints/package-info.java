/**
 * Keeps the state of each endpoint in {@code vaneworksd} and defines the calls made to endpoints.
 *
 * <p>Input: the endpoints' own status, outcomes and durations of calls, hints from peers and the
 * box list. Read by routing, admission and the drivers of pipelines and plain services. The tables
 * are shared between workers. Lock order: the table, then an endpoint, then the step times by kind.
 */
package org.vaneworks.coordination.endpoints;
