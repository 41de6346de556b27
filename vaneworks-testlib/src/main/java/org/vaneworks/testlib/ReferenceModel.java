package org.vaneworks.testlib;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A toy model whose answer depends on every layer, in order, at every position.
 *
 * <p>Each layer keeps a running state (its "KV cache") that every input goes into. A layer that is
 * skipped, repeated or swapped, or a lost or doubled position, changes all later tokens.
 */
public final class ReferenceModel {
  private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;
  private static final int TOKEN_LETTERS = 5;
  private static final int BLOCK = 256;

  private ReferenceModel() {}

  /** Returns the tokens of the one right answer. */
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

  /** Runs a value through layers from {@code firstLayer}, changing their states. */
  static long run(long value, int firstLayer, long[] states) {
    long x = value;
    for (int i = 0; i < states.length; i++) {
      states[i] = mix(states[i] + x);
      x = mix(x ^ Long.rotateLeft(states[i], 17) ^ (firstLayer + i + 1) * MULTIPLIER);
    }
    return x;
  }

  /** Returns the value that a text enters the first layer with. */
  static long valueOf(String text) {
    return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
  }

  /** Returns the token that the last layer's value stands for. */
  static String tokenOf(long value) {
    StringBuilder token = new StringBuilder(" ");
    long rest = value >>> 1;
    for (int i = 0; i < TOKEN_LETTERS; i++) {
      token.append((char) ('a' + rest % 26));
      rest /= 26;
    }
    return token.toString();
  }

  /** Returns what a range that is not the last puts out: the value, and the prompt's blocks. */
  static String activation(long value, List<String> blocks) {
    return Long.toHexString(value) + ":" + String.join(",", blocks);
  }

  /** Returns the value in an activation. */
  static long activationValue(String activation) {
    return Long.parseUnsignedLong(activation.substring(0, activation.indexOf(':')), 16);
  }

  /** Returns the prompt's blocks in an activation, which a prefix cache tells prompts apart by. */
  static List<String> activationBlocks(String activation) {
    String blocks = activation.substring(activation.indexOf(':') + 1);
    return Splitter.on(',').omitEmptyStrings().splitToList(blocks);
  }

  /** Returns the hashes of a prompt's whole blocks, each over all that goes before it. */
  static List<String> blocksOf(String prompt) {
    ImmutableList.Builder<String> blocks = ImmutableList.builder();
    for (int end = BLOCK; end <= prompt.length(); end += BLOCK) {
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
