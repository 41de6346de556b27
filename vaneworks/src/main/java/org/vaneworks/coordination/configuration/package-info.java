/**
 * The operators' configuration, stored as a head and pages in the platform's store.
 *
 * <p>{@code ConfigurationEditor} applies a change by compare-and-swap of the head that it read.
 * {@code ConfigurationFollower} and {@code ActiveConfiguration} determine which version is in force
 * on a node; that version never decreases. Used by {@code Node}, which also replicates pages to
 * peers, and by the command line.
 */
package org.vaneworks.coordination.configuration;
