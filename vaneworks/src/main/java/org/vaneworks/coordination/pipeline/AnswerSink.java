package org.vaneworks.coordination.pipeline;

import org.vaneworks.state.Refusal;

/**
 * Takes a completion's answer in order: tokens, then exactly one end.
 *
 * <p>Calls never overlap. Implementations must not block.
 */
public interface AnswerSink {
  /** Takes the next token's text. */
  void token(String text);

  /** Takes the end of a whole answer. */
  void complete();

  /** Takes the end of an answer that is not whole. */
  void failed(Refusal refusal);
}
