/**
 * Which engines a pipeline's stream passes in {@code vaneworksd}.
 *
 * <p>Input: what {@code endpoints} knows of each engine, the layers and amounts of work that are
 * asked for. Called by admission and by the drivers of pipelines. The forwarding node has its own
 * choice of paths in {@code relay}.
 */
package org.vaneworks.coordination.routing;
