package org.vaneworks.testlib.fleet;

import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.coordination.relay.RequestSize;

/**
 * A stream that runs on the engines of a path.
 *
 * @param size number of prompt and answer tokens
 * @param path the engines that run the stream
 * @param startedAt start time, in nanoseconds
 * @param durationNanos duration, in nanoseconds
 */
record ModelStream(RequestSize size, EnginePath path, long startedAt, long durationNanos) {
  double tokensPerNano() {
    return (double) size.answerTokens() / durationNanos;
  }

  double tokensAtZero() {
    return size.promptTokens() - tokensPerNano() * startedAt;
  }

  // Streams are compared by identity: two streams of equal size may run at the same time.
  @Override
  public boolean equals(Object other) {
    return this == other;
  }

  @Override
  public int hashCode() {
    return System.identityHashCode(this);
  }
}
