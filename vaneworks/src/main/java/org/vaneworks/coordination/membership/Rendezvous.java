package org.vaneworks.coordination.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Picks members for a task by rendezvous hashing.
 *
 * <p>Nodes with the same view pick the same members; when a member goes, only its tasks move. Views
 * may differ, so a pick is for efficiency only.
 */
final class Rendezvous {
  private Rendezvous() {}

  /** Returns the members' identities, those that the task falls on first. */
  static List<String> order(String task, Stream<String> identities) {
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
