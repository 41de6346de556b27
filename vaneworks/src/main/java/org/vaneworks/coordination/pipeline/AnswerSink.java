package org.vaneworks.coordination.pipeline;

import org.vaneworks.state.Refusal;

/**
 * Receives the answer of a completion: any number of tokens in order, followed by exactly one call
 * of {@link #complete} or {@link #failed}.
 *
 * <p>Calls never overlap. Implementations must not block.
 */
public interface AnswerSink {
  /** Receives the text of the next token. */
  void token(String text);

  /** Called once after the last token of a complete answer. */
  void complete();

  /** Called once if the answer ends early, with the reason. */
  void failed(Refusal refusal);
}
