/**
 * Numbered log events, counters and timers, used by every layer.
 *
 * <p>The package sits below {@code state}; it depends on SLF4J and Micrometer only.
 */
package org.vaneworks.telemetry;
