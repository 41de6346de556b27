/**
 * What callers of {@code vaneworksd} ask for: values that check themselves.
 *
 * <p>Built by the layers above from HTTP; read by admission, pipelines and at-most-once delivery.
 * Decides nothing.
 */
package org.vaneworks.coordination.requests;
