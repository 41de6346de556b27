package org.vaneworks.coordination.once;

import com.google.common.collect.ImmutableList;

/** Encodes and decodes the document that holds the claims of one shard. */
public interface ClaimFormat {
  /** Returns the document that holds the claims. */
  String encodeClaims(ImmutableList<Claim> claims);

  /**
   * Returns the claims that a document holds.
   *
   * @throws IllegalArgumentException if the text is not a valid document
   */
  ImmutableList<Claim> decodeClaims(String text);
}
