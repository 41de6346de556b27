package org.vaneworks.coordination.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Assigns tasks to members by rendezvous hashing.
 *
 * <p>Nodes with the same view compute the same assignment; when a member departs, only its tasks
 * are reassigned. The views of two nodes may differ, so correctness must not depend on an
 * assignment.
 */
final class RendezvousHashing {
  private RendezvousHashing() {}

  /** Returns the identities in descending order of their weight for the task. */
  static List<String> rank(String task, Stream<String> identities) {
    return identities
        .sorted(Comparator.comparingLong((String identity) -> weight(task, identity)).reversed())
        .toList();
  }

  private static long weight(String task, String identity) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(task, StandardCharsets.UTF_8)
        .putChar('/')
        .putString(identity, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
