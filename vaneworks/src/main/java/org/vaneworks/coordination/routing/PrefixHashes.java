package org.vaneworks.coordination.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Hashes the growing prefixes of a prompt, so that two prompts can be compared by their common
 * start.
 */
public final class PrefixHashes {
  private static final HashFunction HASH = Hashing.murmur3_128(0x7661);
  private static final int BLOCK_CHARACTERS = 256;
  private static final int MAX_BLOCKS = 32;

  private PrefixHashes() {}

  /** Returns the hashes of the prompt's prefixes that consist of whole blocks, shortest first. */
  public static ImmutableList<Long> of(String prompt) {
    ImmutableList.Builder<Long> hashes = ImmutableList.builder();
    int blocks = Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARACTERS);
    long previous = 0;
    for (int block = 0; block < blocks; block++) {
      String text = prompt.substring(block * BLOCK_CHARACTERS, (block + 1) * BLOCK_CHARACTERS);
      previous =
          HASH.newHasher()
              .putLong(previous)
              .putString(text, StandardCharsets.UTF_8)
              .hash()
              .asLong();
      hashes.add(previous);
    }
    return hashes.build();
  }
}
