/**
 * The platform's list of boxes, which may be out of date.
 *
 * <p>Membership takes its seed addresses from the list, and the endpoint monitor its endpoints.
 * This package contains only value types and the interface of the client.
 */
package org.vaneworks.coordination.boxes;
