/**
 * Drives a stream over its route, hop by hop, and replaces what fails.
 *
 * <p>Decides which hop runs the next step, what is rebuilt after a failure and when a stream is
 * given up. Input: a planned route, endpoints' answers, the retry budget. Called by the request
 * gate; answers go to an {@code AnswerSink}.
 */
package org.vaneworks.coordination.pipeline;
