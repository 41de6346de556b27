package org.vaneworks.coordination.once;

import com.google.common.collect.ImmutableList;

/** The text form of a claim shard's document. */
public interface ClaimFormat {
  /** Returns the document of the claims. */
  String encodeClaims(ImmutableList<Claim> claims);

  /**
   * Returns the claims of a document.
   *
   * @throws IllegalArgumentException if the text is none
   */
  ImmutableList<Claim> decodeClaims(String text);
}
