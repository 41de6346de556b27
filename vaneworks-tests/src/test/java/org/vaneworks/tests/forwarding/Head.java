package org.vaneworks.tests.forwarding;

import java.util.Optional;
import org.vaneworks.coordination.forwarding.AnswerHead;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StatedLimit;

/** The head of an endpoint's answer, as a test wants it. */
public record Head(
    int status, boolean notRun, boolean matches, Optional<HostPort> obstacle, StatedLimit limit)
    implements AnswerHead {
  /** Returns the head of an answer to the request that was sent. */
  public static Head of(int status) {
    return of(status, StatedLimit.none());
  }

  /** The same of an endpoint that says how many requests a second it takes. */
  public static Head of(int status, StatedLimit limit) {
    return new Head(status, false, true, Optional.empty(), limit);
  }
}
