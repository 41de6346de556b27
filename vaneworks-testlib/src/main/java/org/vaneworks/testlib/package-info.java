/**
 * Small stand-ins for the outside systems, a paused clock and a load generator.
 *
 * <p>Each stand-in has a core without sockets, for tests in one process, and can also be started as
 * a process of its own through {@link org.vaneworks.testlib.StandInMain}.
 */
package org.vaneworks.testlib;
