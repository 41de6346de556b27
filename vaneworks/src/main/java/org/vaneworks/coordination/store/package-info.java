/**
 * Access to the platform's key-value store for the nodes of {@code vaneworksd}, within a budget of
 * calls per node ({@code BudgetedStore}).
 *
 * <p>Used for the configuration, claims and membership. The HTTP client is in {@code transport}.
 * Forwarding nodes use the interface in {@code coordination.shared} instead.
 */
package org.vaneworks.coordination.store;
