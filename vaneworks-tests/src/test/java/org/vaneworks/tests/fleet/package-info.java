/** Tests of the endpoint table and of the health checks. */
package org.vaneworks.tests.fleet;
