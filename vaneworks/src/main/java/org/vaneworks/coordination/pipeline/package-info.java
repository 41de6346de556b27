/**
 * Runs a stream over its route, hop by hop, and replaces hops that fail.
 *
 * <p>Decides which hop runs the next step, what is rebuilt after a failure and when a stream is
 * aborted. Decisions depend on the planned route, the answers of endpoints and the retry budget.
 * Called by {@code RequestDispatcher}; answers are delivered to an {@code AnswerSink}.
 */
package org.vaneworks.coordination.pipeline;
