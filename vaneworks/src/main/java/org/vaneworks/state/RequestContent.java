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
 * Names what a request asks for, whoever sends it again and however often.
 *
 * <p>Requests of one workspace with the same method, target and body have the same content; a
 * caller's own id of the request does not count.
 *
 * @param digest 128 bits in hex: a digest of its parts
 */
public record RequestContent(String digest) {
  /** Half of SHA-256: enough that no two contents meet by chance. */
  private static final int DIGEST_BYTES = 16;

  private static final Pattern FORM = Pattern.compile("[0-9a-f]{" + 2 * DIGEST_BYTES + "}");

  /** Checks the digest's form. */
  public RequestContent {
    checkArgument(FORM.matcher(digest).matches(), "digest is not 128 bits in hex: %s", digest);
  }

  /**
   * Returns the content of a request.
   *
   * @param workspace whose request it is; empty where the route needs no key
   * @param target path and query, as sent
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

  /** Puts a part with its length, so that no two lists of parts run together. */
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
