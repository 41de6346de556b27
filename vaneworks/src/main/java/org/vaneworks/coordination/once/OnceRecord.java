package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * One record as it is handed over: whether a request ran, and its outcome.
 *
 * @param recordId names it
 * @param bodyHash hash of the work
 * @param outcome the outcome; empty if nothing ran yet and the request may still run
 */
public record OnceRecord(String recordId, String bodyHash, Optional<OnceOutcome> outcome) {
  /** Checks that every part is given. */
  public OnceRecord {
    checkArgument(!recordId.isEmpty(), "a record must be named");
    checkNotNull(bodyHash);
    checkNotNull(outcome);
  }
}
