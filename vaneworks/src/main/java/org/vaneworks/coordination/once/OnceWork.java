package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;

/** What a request that runs at most once asks for. */
public sealed interface OnceWork {
  /** Returns a hash of the work, equal for equal work. */
  default String hash() {
    return Hashing.sha256().hashString(toString(), StandardCharsets.UTF_8).toString();
  }

  /**
   * A completion.
   *
   * @param prompt the whole prompt
   * @param maxTokens tokens wanted at most
   */
  record Completion(String prompt, OptionalInt maxTokens) implements OnceWork {
    /** Checks that both parts are given. */
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
    /** Checks that every part is given. */
    public Call {
      checkNotNull(service);
      checkNotNull(method);
      checkNotNull(path);
      checkNotNull(body);
    }
  }
}
