/**
 * Admission control of {@code vaneworksd}: which requests run now, wait in a queue or are refused.
 *
 * <p>Decisions depend on the predicted time to the first token and between tokens over a route, and
 * on the shares and priorities of workspaces. Called by the pipeline driver. Lock order: the
 * admission lock is acquired after the lock of a stream and before that of the endpoint table.
 */
package org.vaneworks.coordination.admission;
