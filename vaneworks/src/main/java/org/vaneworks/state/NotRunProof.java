package org.vaneworks.state;

/** The evidence that no part of a request ran. */
public enum NotRunProof {
  /** This node rejected the request before it sent anything. */
  NOTHING_SENT,
  /** The connection was refused or lost before a byte of the request was written. */
  NEVER_CONNECTED,
  /** The endpoint answered that it did not start the request. */
  ENDPOINT_REFUSED,
  /** The only node that could have run the request answered that it did not. */
  HOME_REFUSED
}
