/**
 * Decides which engine holds which layers of a model, and sends the engines the orders.
 *
 * <p>{@code PlacementPlanner} computes layer ranges from what the engines hold. {@code
 * PlacementController} runs on the node that holds the controller's lease. It reads an engine
 * before it sends it an order, and each order carries the lease's fence and the number of orders
 * that the engine has accepted so far. The lease only avoids duplicate work; the fence and the
 * order count make a delayed or second controller harmless.
 */
package org.vaneworks.coordination.placement;
