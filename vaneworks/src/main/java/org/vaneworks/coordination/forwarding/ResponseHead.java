package org.vaneworks.coordination.forwarding;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;

/** The parts of an endpoint's response head that forwarding decisions use. */
public interface ResponseHead {
  /** The statuses with which a caller is told that a request has not run and never will. */
  ImmutableSet<Integer> NOT_RUN_STATUSES = ImmutableSet.of(408, 421, 429, 503);

  /** Returns the HTTP status. */
  int status();

  /** Returns whether the endpoint states that it did not run the request. */
  boolean notRun();

  /** Returns whether the response belongs to the request that was sent, not to an earlier one. */
  boolean matches();

  /**
   * Returns the engine of the path that prevented the request from running, if the endpoint names
   * it.
   */
  Optional<HostPort> obstacle();

  /** Returns the signals that the endpoint reports about itself. */
  EndpointSignal signal();

  /** Returns the refusal of the peer that the request was forwarded to, if it refused. */
  default Optional<PeerRefusal> peerRefusal() {
    return Optional.empty();
  }

  /**
   * Returns whether callers would take the status for a promise that the request has not run and
   * never will, which the endpoint does not make.
   */
  default boolean seemsNotRun() {
    return !notRun() && NOT_RUN_STATUSES.contains(status());
  }

  /** Returns whether the status is 2xx. */
  default boolean success() {
    return status() >= 200 && status() < 300;
  }
}
