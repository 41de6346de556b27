package org.vaneworks.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.common.collect.ImmutableList;
import org.vaneworks.coordination.once.Claim;
import org.vaneworks.coordination.once.ClaimFormat;

/**
 * Encodes the claims of a shard as JSON. Field names are short because a document contains
 * thousands of claims.
 */
public final class ClaimJson implements ClaimFormat {
  private static final String KEY = "k";
  private static final String HOLDER = "h";
  private static final String CLAIM_ID = "c";
  private static final String BODY_HASH = "b";

  private ClaimJson() {}

  /** Returns an instance of the format. */
  public static ClaimJson create() {
    return new ClaimJson();
  }

  @Override
  public String encodeClaims(ImmutableList<Claim> claims) {
    ArrayNode list = Json.list();
    for (Claim claim : claims) {
      list.addObject()
          .put(KEY, claim.key())
          .put(HOLDER, claim.holder())
          .put(CLAIM_ID, claim.claimId())
          .put(BODY_HASH, claim.bodyHash());
    }
    return Json.write(Json.object().set("claims", list));
  }

  @Override
  public ImmutableList<Claim> decodeClaims(String text) {
    return FieldReader.of("", Json.parse(text)).objects("claims").stream()
        .map(
            fields ->
                new Claim(
                    fields.text(KEY),
                    fields.text(HOLDER),
                    fields.text(CLAIM_ID),
                    fields.text(BODY_HASH, "")))
        .collect(ImmutableList.toImmutableList());
  }
}
