/**
 * What the product's own nodes keep in the platform's store, and how much they may ask of it.
 *
 * <p>Decides nothing but when a call is over budget ({@code BudgetedStore}): every purpose has a
 * share, and a call beyond it fails at once. Called by configuration, claims and membership; the
 * implementation over HTTP is in {@code transport}. The store of a forwarding node is another, in
 * {@code coordination.shared}.
 */
package org.vaneworks.coordination.store;
