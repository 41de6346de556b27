/** Tests of a completion's way through the engines under a paused clock. */
package org.vaneworks.tests.pipeline;
