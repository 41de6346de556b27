package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * A record in the form in which it is handed over to another node.
 *
 * @param recordId identifier of the record: a ticket, or a claim with its prefix
 * @param bodyHash hash of the work
 * @param outcome the outcome; empty if nothing ran and the request may still be started
 */
public record OnceRecord(String recordId, String bodyHash, Optional<OnceOutcome> outcome) {
  /** Checks that the components are given. */
  public OnceRecord {
    checkArgument(!recordId.isEmpty(), "recordId must not be empty");
    checkNotNull(bodyHash);
    checkNotNull(outcome);
  }
}
