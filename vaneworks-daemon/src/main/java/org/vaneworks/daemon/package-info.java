/** The settings, wiring, startup and shutdown of a {@code vaneworksd} process. */
package org.vaneworks.daemon;
