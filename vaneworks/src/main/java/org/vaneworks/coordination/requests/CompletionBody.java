package org.vaneworks.coordination.requests;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalInt;

/**
 * What a caller's completion says, before it is checked against the workspace.
 *
 * @param prompt the whole prompt
 * @param maxTokens how many tokens the caller wants at most
 */
public record CompletionBody(String prompt, OptionalInt maxTokens) {
  /** Checks that both parts are given. */
  public CompletionBody {
    checkNotNull(prompt);
    checkNotNull(maxTokens);
  }
}
