package org.vaneworks.coordination.relay;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The expected size of a request.
 *
 * @param promptTokens number of tokens to read
 * @param answerTokens number of tokens to generate
 */
public record RequestSize(int promptTokens, int answerTokens) {
  /** Checks that neither number is negative. */
  public RequestSize {
    checkArgument(promptTokens >= 0, "promptTokens must not be negative: %s", promptTokens);
    checkArgument(answerTokens >= 0, "answerTokens must not be negative: %s", answerTokens);
  }

  /** Returns the number of tokens held in memory when the request ends. */
  public int tokens() {
    return promptTokens + answerTokens;
  }
}
