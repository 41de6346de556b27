package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Assigns the request with an idempotency key to the one node that may run it.
 *
 * @param key hash of the workspace and the idempotency key
 * @param holder identity of the node that may run the request
 * @param claimId unique identifier of the claim; shows whether a write with an unknown outcome took
 *     effect
 * @param bodyHash hash of the work, to detect a key that is reused for another request
 */
public record Claim(String key, String holder, String claimId, String bodyHash) {
  /** Checks that the identifying components are not empty. */
  public Claim {
    checkArgument(!key.isEmpty(), "key must not be empty");
    checkArgument(!holder.isEmpty(), "holder of claim %s must not be empty", claimId);
    checkArgument(!claimId.isEmpty(), "claimId must not be empty");
  }
}
