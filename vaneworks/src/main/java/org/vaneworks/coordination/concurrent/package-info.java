/**
 * Helpers on futures that run on a node's executor and clock. Decide nothing; used by all of {@code
 * coordination}.
 */
package org.vaneworks.coordination.concurrent;
