package org.vaneworks.coordination.requests;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalInt;

/**
 * The body of a completion request, before it is validated against the workspace.
 *
 * @param prompt the whole prompt
 * @param maxTokens maximum number of tokens to generate, if set by the caller
 */
public record CompletionBody(String prompt, OptionalInt maxTokens) {
  /** Checks that the components are given. */
  public CompletionBody {
    checkNotNull(prompt);
    checkNotNull(maxTokens);
  }
}
