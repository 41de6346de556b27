package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * What an engine put out for one step.
 *
 * @param session the lineage that it ran in
 * @param step the step that it ran
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

  /** Returns whether this answers the call: same stream, epoch, layers, step and history. */
  public boolean answers(StepCall call) {
    return session.equals(call.session())
        && step == call.step()
        && historyOutputs.size() == call.history().size();
  }
}
