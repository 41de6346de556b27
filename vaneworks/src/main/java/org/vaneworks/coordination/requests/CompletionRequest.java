package org.vaneworks.coordination.requests;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.Priority;
import org.vaneworks.state.WorkspacePlan;

/**
 * A caller's completion, checked against its workspace.
 *
 * @param plan what the workspace is held to
 * @param prompt the whole prompt
 * @param maxTokens how many tokens to make
 * @param repeatable whether any part may run more than once
 * @param priority how urgent
 * @param deadline how long the caller waits for the whole answer, from now
 */
public record CompletionRequest(
    WorkspacePlan plan,
    String prompt,
    int maxTokens,
    boolean repeatable,
    Priority priority,
    Optional<Duration> deadline) {
  /** Rough length of a token's text; only estimates depend on it. */
  private static final int CHARACTERS_PER_TOKEN = 4;

  /** Checks the bounds. */
  public CompletionRequest {
    checkNotNull(plan);
    checkArgument(!prompt.isEmpty(), "the prompt must not be empty");
    checkArgument(maxTokens > 0, "maxTokens must be positive: %s", maxTokens);
  }

  /** Returns the prompt's estimated length in tokens. */
  public int promptTokens() {
    return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
  }
}
