package org.vaneworks.state;

/** Names how it is known that no part of a request ran. */
public enum NotRunProof {
  /** The request was turned away inside this node before anything was sent. */
  NOTHING_SENT,
  /** The connection was refused or lost before a byte of the request was written. */
  NEVER_CONNECTED,
  /** The endpoint answered that it did not start the work. */
  ENDPOINT_REFUSED,
  /** Another node, which alone could have run it, answered that it did not. */
  HOME_REFUSED
}
