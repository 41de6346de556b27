package org.vaneworks.coordination.requests;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.Priority;
import org.vaneworks.state.WorkspacePlan;

/**
 * A completion request that was validated against its workspace.
 *
 * @param plan model, limits and latency bounds of the workspace
 * @param prompt the whole prompt
 * @param maxTokens number of tokens to generate
 * @param repeatable whether any part may run more than once
 * @param priority priority of the request
 * @param deadline how long the caller waits for the whole answer
 */
public record CompletionRequest(
    WorkspacePlan plan,
    String prompt,
    int maxTokens,
    boolean repeatable,
    Priority priority,
    Optional<Duration> deadline) {
  /** Approximate length of a token's text, used only for estimates. */
  private static final int CHARACTERS_PER_TOKEN = 4;

  /** Checks the prompt and the number of tokens. */
  public CompletionRequest {
    checkNotNull(plan);
    checkArgument(!prompt.isEmpty(), "the prompt must not be empty");
    checkArgument(maxTokens > 0, "maxTokens must be positive: %s", maxTokens);
  }

  /** Returns the estimated length of the prompt in tokens, at least 1. */
  public int promptTokens() {
    return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
  }
}
