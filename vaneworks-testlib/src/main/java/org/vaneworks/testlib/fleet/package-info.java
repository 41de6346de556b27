/**
 * A model of many nodes that share many engines, in paused time and without a network.
 *
 * <p>Nodes decide with the product's own placement, path search and load exchange; engines keep
 * what a stream takes of them. {@link org.vaneworks.testlib.fleet.SharedEnginesModel} runs it.
 */
package org.vaneworks.testlib.fleet;
