/** Tests of requests that run at most once, under a paused clock. */
package org.vaneworks.tests.once;
