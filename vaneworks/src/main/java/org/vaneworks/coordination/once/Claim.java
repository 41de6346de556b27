package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Says which node alone may run the request of a caller's key.
 *
 * @param key hash of workspace and key
 * @param holder identity of the node
 * @param claimId unique name of the claim; settles lost answers
 * @param bodyHash hash of what is to run, to tell a key that was reused
 */
public record Claim(String key, String holder, String claimId, String bodyHash) {
  /** Checks that every part is given. */
  public Claim {
    checkArgument(!key.isEmpty(), "a claim's key must be given");
    checkArgument(!holder.isEmpty(), "the holder of claim %s must be named", claimId);
    checkArgument(!claimId.isEmpty(), "a claim must be named");
  }
}
