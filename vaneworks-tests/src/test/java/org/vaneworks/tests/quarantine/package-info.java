/** Tests of the quarantine of requests that crash endpoints. */
package org.vaneworks.tests.quarantine;
