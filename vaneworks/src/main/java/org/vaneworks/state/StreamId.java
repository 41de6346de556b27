package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies a stream among all streams of all nodes, past and present.
 *
 * @param node identity of the node that runs the stream, including its incarnation
 * @param sequence the node's counter of streams
 * @param nonce random number that keeps the ids distinct if two nodes have the same name by mistake
 */
public record StreamId(String node, long sequence, long nonce) {
  /** Checks that the node is not empty. */
  public StreamId {
    checkArgument(!node.isEmpty(), "a stream's node must not be empty");
  }

  @Override
  public String toString() {
    return node + "." + sequence + "." + Long.toHexString(nonce);
  }
}
