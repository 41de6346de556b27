/**
 * Chooses the engines that run a pipeline's stream in {@code vaneworksd}.
 *
 * <p>Input: the state of each engine from {@code endpoints}, and the layers and the amount of work
 * requested. Called by admission and by the drivers of pipelines. The forwarding node chooses paths
 * with {@code relay} instead.
 */
package org.vaneworks.coordination.routing;
