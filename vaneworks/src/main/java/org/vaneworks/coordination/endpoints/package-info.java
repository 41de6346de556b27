/**
 * What {@code vaneworksd} knows of each endpoint, and the calls that it makes there.
 *
 * <p>Input: the endpoints' own status, outcomes and times of calls, peers' hints, the list of
 * boxes. Read by routing, admission and the drivers of pipelines and plain services. The tables are
 * shared between workers; the table's lock is taken before an endpoint's, the kinds' times last.
 */
package org.vaneworks.coordination.endpoints;
