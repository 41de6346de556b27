package org.vaneworks.coordination.fleet;

import java.util.Optional;
import org.vaneworks.state.HostPort;

/**
 * The answer of an engine to an order to change a request's path.
 *
 * @param kind the kind of answer
 * @param obstacle the engine that is missing or lacks capacity, if the answer named one
 */
public record RepathOutcome(Kind kind, Optional<HostPort> obstacle) {
  /** The kind of answer. */
  public enum Kind {
    ACCEPTED,
    UNKNOWN_REQUEST,
    OBSTACLE,
    REFUSED
  }
}
