package org.vaneworks.testlib;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A deterministic model whose answer depends on each layer, on their order, and on each position.
 *
 * <p>Each layer has a state, comparable to a KV cache, that is updated by each input. If a layer is
 * skipped, repeated or swapped, or a position is lost or duplicated, all later tokens change.
 */
public final class ReferenceModel {
  private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;
  private static final int TOKEN_LETTERS = 5;
  private static final int BLOCK_CHARACTERS = 256;

  private ReferenceModel() {}

  /** Returns the tokens of the only correct answer. */
  public static ImmutableList<String> answer(String prompt, int layers, int tokens) {
    long[] states = new long[layers];
    ImmutableList.Builder<String> answer = ImmutableList.builder();
    String input = prompt;
    for (int i = 0; i < tokens; i++) {
      input = tokenOf(run(valueOf(input), 0, states));
      answer.add(input);
    }
    return answer.build();
  }

  /** Runs a value through the layers from {@code firstLayer} on and updates their states. */
  static long run(long value, int firstLayer, long[] states) {
    long x = value;
    for (int i = 0; i < states.length; i++) {
      states[i] = mix(states[i] + x);
      x = mix(x ^ Long.rotateLeft(states[i], 17) ^ (firstLayer + i + 1) * MULTIPLIER);
    }
    return x;
  }

  /** Returns the input value of the first layer for a text. */
  static long valueOf(String text) {
    return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
  }

  /** Returns the token for the output value of the last layer. */
  static String tokenOf(long value) {
    StringBuilder token = new StringBuilder(" ");
    long remaining = value >>> 1;
    for (int i = 0; i < TOKEN_LETTERS; i++) {
      token.append((char) ('a' + remaining % 26));
      remaining /= 26;
    }
    return token.toString();
  }

  /**
   * Returns the output of a range without the last layer: a value and the prompt's block hashes.
   */
  static String activation(long value, List<String> blocks) {
    return Long.toHexString(value) + ":" + String.join(",", blocks);
  }

  /** Returns the value of an activation. */
  static long activationValue(String activation) {
    return Long.parseUnsignedLong(activation.substring(0, activation.indexOf(':')), 16);
  }

  /** Returns the prompt's block hashes of an activation, the keys of the prefix cache. */
  static List<String> activationBlocks(String activation) {
    String blocks = activation.substring(activation.indexOf(':') + 1);
    return Splitter.on(',').omitEmptyStrings().splitToList(blocks);
  }

  /** Returns a hash for each complete block of a prompt, over the prompt up to the block's end. */
  static List<String> blocksOf(String prompt) {
    ImmutableList.Builder<String> blocks = ImmutableList.builder();
    for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
      blocks.add(Long.toHexString(valueOf(prompt.substring(0, end))));
    }
    return blocks.build();
  }

  private static long mix(long value) {
    long z = value * MULTIPLIER;
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
