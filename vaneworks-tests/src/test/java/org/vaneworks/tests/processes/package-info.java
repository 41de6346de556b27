/** Steps of the scenarios that run over separate processes. */
package org.vaneworks.tests.processes;
