/** The daemon: settings, wiring and life of a {@code vaneworksd} process. */
package org.vaneworks.daemon;
