package org.vaneworks.coordination.admission;

import org.vaneworks.coordination.requests.CompletionRequest;

/** Computes how much of its workspace's fair share a request consumes. */
@FunctionalInterface
public interface AdmissionCost {
  /** Returns the cost of the request, which must be positive. */
  double of(CompletionRequest request);

  /** Returns a cost function under which every request costs 1. */
  static AdmissionCost requests() {
    return request -> 1;
  }

  /**
   * Returns a cost function that counts tokens.
   *
   * <p>A prompt token counts as a sixteenth of a generated token, since it is far cheaper to
   * process.
   */
  static AdmissionCost tokens() {
    return request -> request.promptTokens() / 16.0 + request.maxTokens();
  }
}
