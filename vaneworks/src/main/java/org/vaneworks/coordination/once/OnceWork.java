package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;

/** The work of a request that runs at most once. */
public sealed interface OnceWork {
  /** Returns a SHA-256 hash of the work; equal work has equal hashes on every node. */
  default String hash() {
    return Hashing.sha256().hashString(toString(), StandardCharsets.UTF_8).toString();
  }

  /**
   * A completion.
   *
   * @param prompt the whole prompt
   * @param maxTokens maximum number of tokens to generate
   */
  record Completion(String prompt, OptionalInt maxTokens) implements OnceWork {
    /** Checks that the components are given. */
    public Completion {
      checkNotNull(prompt);
      checkNotNull(maxTokens);
    }
  }

  /**
   * A call of a plain service.
   *
   * @param service the service's name
   * @param method HTTP method
   * @param path path below the service
   * @param body body, empty if none
   */
  record Call(String service, String method, String path, String body) implements OnceWork {
    /** Checks that the components are given. */
    public Call {
      checkNotNull(service);
      checkNotNull(method);
      checkNotNull(path);
      checkNotNull(body);
    }
  }
}
