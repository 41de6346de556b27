package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.vaneworks.state.Priority;

/**
 * A call to an engine to run one step of a session: the prompt or the next token.
 *
 * @param session the session to run it in
 * @param step 0 for the prompt, then incremented for each token
 * @param positions number of token positions that the input stands for
 * @param input text for the first layers, otherwise the output of the preceding layers
 * @param history the inputs of steps 0 to {@code step - 1} to rebuild a lost session, or empty
 * @param historyPositions number of token positions that the history stands for
 * @param priority priority in the engine's own queue
 */
public record StepCall(
    SessionId session,
    int step,
    int positions,
    String input,
    ImmutableList<String> history,
    int historyPositions,
    Priority priority) {
  /** Checks that the history is complete or empty. */
  public StepCall {
    checkNotNull(session);
    checkNotNull(input);
    checkArgument(step >= 0, "step must not be negative: %s", step);
    checkArgument(
        history.isEmpty() || history.size() == step,
        "history has %s inputs, expected %s",
        history.size(),
        step);
  }

  /** Returns whether the call rebuilds a session from its history. */
  public boolean rebuilds() {
    return !history.isEmpty();
  }
}
