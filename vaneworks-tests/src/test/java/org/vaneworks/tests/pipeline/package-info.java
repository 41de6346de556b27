/** Tests of running completions over engines, under a paused clock. */
package org.vaneworks.tests.pipeline;
