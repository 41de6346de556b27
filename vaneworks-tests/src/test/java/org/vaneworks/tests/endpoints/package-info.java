/** Tests of the health of endpoints and of the choice of an endpoint for a call. */
package org.vaneworks.tests.endpoints;
