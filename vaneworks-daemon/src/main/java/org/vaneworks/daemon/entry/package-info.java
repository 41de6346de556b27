/** The settings, wiring, startup and shutdown of a daemon that forwards callers' requests. */
package org.vaneworks.daemon.entry;
