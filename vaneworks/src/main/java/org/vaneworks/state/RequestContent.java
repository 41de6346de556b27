package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Identifies the content of a request; retries of a request have the same content.
 *
 * <p>Requests of one workspace with the same method, host, target and body have the same content,
 * whatever request ids their callers give.
 *
 * @param digest 128-bit digest of these parts, in hexadecimal
 */
public record RequestContent(String digest) implements RequestTrait {
  /** Length of the truncated SHA-256; 128 bits make accidental collisions negligible. */
  private static final int DIGEST_BYTES = 16;

  private static final Pattern FORM = Pattern.compile("[0-9a-f]{" + 2 * DIGEST_BYTES + "}");

  /** Checks the digest's form. */
  public RequestContent {
    checkArgument(FORM.matcher(digest).matches(), "digest is not 128 bits in hex: %s", digest);
  }

  /**
   * Returns the content of a request.
   *
   * @param workspace the caller's workspace; empty if the route requires no key
   * @param target path and query, as received
   */
  public static RequestContent of(
      Optional<String> workspace, String method, String host, String target, byte[] body) {
    Hasher hasher = Hashing.sha256().newHasher();
    put(hasher, workspace.orElse(""));
    put(hasher, method);
    put(hasher, host);
    put(hasher, target);
    byte[] digest = hasher.putBytes(body).hash().asBytes();
    return new RequestContent(hex(Arrays.copyOf(digest, DIGEST_BYTES)));
  }

  /** Hashes a part after its length, so that different lists of parts never give the same bytes. */
  private static void put(Hasher hasher, String part) {
    byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
    hasher.putInt(bytes.length).putBytes(bytes);
  }

  private static String hex(byte[] bytes) {
    return BaseEncoding.base16().lowerCase().encode(bytes);
  }

  @Override
  public String toString() {
    return digest;
  }
}
