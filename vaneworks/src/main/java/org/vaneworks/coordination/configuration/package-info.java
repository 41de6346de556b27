/**
 * What operators configured, as pages and a head in the platform's store.
 *
 * <p>{@code ConfigurationEditor} decides whether a change is accepted, from the head that it read
 * and by compare-and-swap; {@code ConfigurationFollower} and {@code ConfigurationBoard} decide
 * which version is in force on a node, which never goes back. Called by {@code Node}, which also
 * spreads pages to peers, and by the operators' command.
 */
package org.vaneworks.coordination.configuration;
