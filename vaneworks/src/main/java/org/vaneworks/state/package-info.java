/**
 * Immutable values and the shared tables: configuration, endpoints, members, streams, claims.
 *
 * <p>This is the lowest layer. It opens no socket, reads no wall clock and draws no hidden
 * randomness.
 */
package org.vaneworks.state;
