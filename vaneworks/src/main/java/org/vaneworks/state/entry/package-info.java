/**
 * The operators' configuration for the requests that a node forwards: routes by host and path,
 * services, models that engines run, callers' keys and limits.
 *
 * <p>Contains immutable values only. An adapter builds them from the configuration format, and
 * {@code coordination} reads them.
 */
package org.vaneworks.state.entry;
