package org.vaneworks.coordination.once;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/**
 * Gives a caller a completion's tokens: those that come live, then those of the outcome that are
 * still missing, then the end. Thread-safe.
 */
public final class OnceDelivery implements AnswerSink {
  private final AnswerSink caller;

  @GuardedBy("this")
  private int given;

  /** Creates a delivery to a caller who is there. */
  public OnceDelivery(AnswerSink caller) {
    this.caller = caller;
  }

  @Override
  public synchronized void token(String text) {
    given++;
    caller.token(text);
  }

  /** The end comes with the outcome. */
  @Override
  public void complete() {}

  /** The end comes with the outcome. */
  @Override
  public void failed(Refusal refusal) {}

  /** Takes the outcome, once. */
  public synchronized void end(OnceOutcome outcome) {
    if (outcome instanceof OnceOutcome.Tokens whole) {
      ImmutableList<String> tokens = whole.tokens();
      tokens.subList(Math.min(given, tokens.size()), tokens.size()).forEach(caller::token);
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
