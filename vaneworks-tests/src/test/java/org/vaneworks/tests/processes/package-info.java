/** Step definitions of the scenarios that run nodes, engines and services as separate processes. */
package org.vaneworks.tests.processes;
