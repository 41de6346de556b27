package org.vaneworks.coordination.admission;

import org.vaneworks.coordination.requests.CompletionRequest;

/** Says how much of a workspace's share one request uses up. */
@FunctionalInterface
public interface AdmissionCost {
  /** Returns the cost, positive. */
  double of(CompletionRequest request);

  /** Returns the cost that counts requests. */
  static AdmissionCost requests() {
    return request -> 1;
  }

  /** Returns the cost that counts tokens: a prompt token is far cheaper than a new one. */
  static AdmissionCost tokens() {
    return request -> request.promptTokens() / 16.0 + request.maxTokens();
  }
}
