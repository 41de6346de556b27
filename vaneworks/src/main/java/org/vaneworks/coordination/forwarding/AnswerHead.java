package org.vaneworks.coordination.forwarding;

import java.util.Optional;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;

/** The head of an endpoint's answer as decisions see it; its headers stay with the transport. */
public interface AnswerHead {
  /** Returns the HTTP status. */
  int status();

  /** Returns whether the endpoint states that it did not run the request. */
  boolean notRun();

  /** Returns whether it answers the request that was sent, and not an earlier one. */
  boolean matches();

  /** Returns the engine of the path because of which the request was not run, if it is named. */
  Optional<HostPort> obstacle();

  /** Returns what the endpoint says of itself. */
  EndpointSignal statement();

  /** Returns whether this is an answer of success. */
  default boolean success() {
    return status() >= 200 && status() < 300;
  }
}
