/**
 * The platform's list of boxes, which lags.
 *
 * <p>Asked by membership, for peers to begin with, and by the endpoints' monitor. Values and one
 * interface to the outside; decides nothing.
 */
package org.vaneworks.coordination.boxes;
