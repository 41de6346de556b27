/** Utilities for futures and event loops, used throughout {@code coordination}. */
package org.vaneworks.coordination.concurrent;
