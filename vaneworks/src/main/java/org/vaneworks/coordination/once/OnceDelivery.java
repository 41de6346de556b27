package org.vaneworks.coordination.once;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/**
 * Delivers a completion to its caller: first the tokens received while the completion runs, then
 * the remaining tokens of the recorded outcome, then the end. Thread-safe.
 */
public final class OnceDelivery implements AnswerSink {
  private final AnswerSink caller;

  @GuardedBy("this")
  private int delivered;

  /** Creates a delivery to a connected caller. */
  public OnceDelivery(AnswerSink caller) {
    this.caller = caller;
  }

  @Override
  public synchronized void token(String text) {
    delivered++;
    caller.token(text);
  }

  /** Does nothing: {@link #finish} delivers the end. */
  @Override
  public void complete() {}

  /** Does nothing: {@link #finish} delivers the end. */
  @Override
  public void failed(Refusal refusal) {}

  /** Delivers the rest of the outcome. Must be called exactly once. */
  public synchronized void finish(OnceOutcome outcome) {
    if (outcome instanceof OnceOutcome.Tokens whole) {
      ImmutableList<String> tokens = whole.tokens();
      tokens.subList(Math.min(delivered, tokens.size()), tokens.size()).forEach(caller::token);
      caller.complete();
    } else if (outcome instanceof OnceOutcome.Refused refused) {
      caller.failed(refused.refusal());
    } else {
      caller.failed(wrongKind());
    }
  }

  private static Refusal wrongKind() {
    return Refusal.nothingSent(Reason.KEY_REUSED, "the record is that of a service call");
  }
}
