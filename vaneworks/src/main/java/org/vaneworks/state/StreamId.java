package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies one stream among all streams of all nodes, past and present.
 *
 * @param node the node that drives it, with its incarnation
 * @param sequence the node's own count
 * @param nonce a random number, so that two nodes given the same name by mistake don't meet
 */
public record StreamId(String node, long sequence, long nonce) {
  /** Checks that the node is named. */
  public StreamId {
    checkArgument(!node.isEmpty(), "a stream's node must be named");
  }

  @Override
  public String toString() {
    return node + "." + sequence + "." + Long.toHexString(nonce);
  }
}
