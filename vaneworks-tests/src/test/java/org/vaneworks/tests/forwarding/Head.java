package org.vaneworks.tests.forwarding;

import java.util.Optional;
import org.vaneworks.coordination.forwarding.AnswerHead;
import org.vaneworks.state.HostPort;

/** The head of an endpoint's answer, as a test wants it. */
public record Head(int status, boolean notRun, boolean matches, Optional<HostPort> obstacle)
    implements AnswerHead {
  /** Returns the head of an answer to the request that was sent. */
  public static Head of(int status) {
    return new Head(status, false, true, Optional.empty());
  }
}
