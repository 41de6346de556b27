/**
 * Which requests of {@code vaneworksd} run now, which wait and which are refused.
 *
 * <p>Input: the predicted time to the first token and between tokens over a route, workspaces'
 * shares and priorities. Called by the drivers of pipelines. The queue's lock is taken after a
 * stream's and before the endpoint table's.
 */
package org.vaneworks.coordination.admission;
