/** Step definitions of the scenarios that run in one process under a paused clock. */
package org.vaneworks.tests.scenarios;
