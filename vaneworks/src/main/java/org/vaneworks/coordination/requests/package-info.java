/**
 * Value types for the requests of callers of {@code vaneworksd}.
 *
 * <p>Created from HTTP requests by the layers above; used by admission, pipelines and at-most-once
 * execution. The constructors check their arguments.
 */
package org.vaneworks.coordination.requests;
