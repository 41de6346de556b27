/**
 * The output of a daemon's log: one JSON object per line on standard output, written through a
 * bounded queue by a separate thread, so that a slow reader of the log never blocks a request.
 *
 * <p>Logback loads {@code LogSetup} as a service when the first logger is created. {@code
 * org.vaneworks.telemetry.Event} defines the events that are logged.
 */
package org.vaneworks.daemon.logging;
