package org.vaneworks.coordination.forwarding;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.RequestContent;

/** The parts of a caller's request that forwarding decisions use. */
public interface CallerRequest {
  /** Returns the caller's id for this request. */
  String id();

  /** Returns the requested host. */
  String host();

  /** Returns the path without the query, undecoded. */
  String path();

  /** Returns the API key, if the request has one. */
  Optional<String> key();

  /** Returns how long the caller waits for the response, if it states that. */
  Optional<Duration> callerTimeout();

  /** Returns the expected size, if the request states one. */
  Optional<RequestSize> size();

  /** Returns how many tokens the response has at most, if the request states that. */
  default OptionalInt maxAnswerTokens() {
    return OptionalInt.empty();
  }

  /**
   * Returns the ids of the parts of the prompt that other requests may share, in the order of the
   * prompt.
   */
  ImmutableList<String> sharedPromptParts();

  /**
   * Returns a digest of the request's content.
   *
   * @param workspace the workspace that the request belongs to, if known
   */
  RequestContent content(Optional<String> workspace);
}
