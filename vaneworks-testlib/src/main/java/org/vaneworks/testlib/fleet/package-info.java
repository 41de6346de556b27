/**
 * A simulation of many nodes that share many engines, with a paused clock and without a network.
 *
 * <p>Nodes use the product's own placement, path planner and load exchange; engines are models that
 * track the memory of their streams. {@link org.vaneworks.testlib.fleet.SharedEnginesModel} is the
 * entry point.
 */
package org.vaneworks.testlib.fleet;
