package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * The output of an engine for one step.
 *
 * @param session the session that the step ran in
 * @param step the step that ran
 * @param output input of the next layers, or the token's text after the last layer
 * @param historyOutputs outputs of the rebuilt steps; empty unless the call had a history
 */
public record StepReply(
    SessionId session, int step, String output, ImmutableList<String> historyOutputs) {
  /** Checks that every part is given. */
  public StepReply {
    checkNotNull(session);
    checkNotNull(output);
    checkNotNull(historyOutputs);
  }

  /** Returns whether this reply answers the call: its session, step and history size match. */
  public boolean answers(StepCall call) {
    return session.equals(call.session())
        && step == call.step()
        && historyOutputs.size() == call.history().size();
  }
}
