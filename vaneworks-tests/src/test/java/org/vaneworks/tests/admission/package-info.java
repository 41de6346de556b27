/** Tests of the queue of requests that wait for admission, under a paused clock. */
package org.vaneworks.tests.admission;
