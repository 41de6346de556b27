/**
 * Immutable values that all other packages use: configuration, endpoints, routes, refusals and
 * identifiers.
 *
 * <p>The package opens no sockets, reads no clock and uses no source of randomness.
 */
package org.vaneworks.state;
