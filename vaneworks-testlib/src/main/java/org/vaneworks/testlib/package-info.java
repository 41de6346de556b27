/**
 * Test doubles of the external systems, an executor with a paused clock, and load generators.
 *
 * <p>Each stand-in has a core without sockets, for tests within one process, and can also be
 * started as a separate process by {@link org.vaneworks.testlib.StandInMain}.
 */
package org.vaneworks.testlib;
