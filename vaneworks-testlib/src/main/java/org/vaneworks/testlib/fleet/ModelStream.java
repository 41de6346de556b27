package org.vaneworks.testlib.fleet;

import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.coordination.relay.RequestSize;

/**
 * A stream that runs over a path.
 *
 * @param size what it reads and writes
 * @param path where it runs
 * @param beganAt when
 * @param nanos how long it writes
 */
record ModelStream(RequestSize size, EnginePath path, long beganAt, long nanos) {
  double tokensPerNano() {
    return (double) size.answerTokens() / nanos;
  }

  double tokensAtZero() {
    return size.promptTokens() - tokensPerNano() * beganAt;
  }

  // Streams are told apart by identity: two of the same size may run at once.
  @Override
  public boolean equals(Object other) {
    return this == other;
  }

  @Override
  public int hashCode() {
    return System.identityHashCode(this);
  }
}
