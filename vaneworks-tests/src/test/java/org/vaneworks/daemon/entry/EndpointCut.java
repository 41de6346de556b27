package org.vaneworks.daemon.entry;

/** How a node is cut off from all endpoints. */
enum EndpointCut {
  /** The node reaches the endpoints. */
  NONE,
  /** Nothing passes in either direction until the cut ends; new connections hang. */
  HANG,
  /** Open connections are reset, and new ones are refused. */
  RESET,
  /** Open connections live on, but new ones are refused. */
  NEW_REFUSED,
  /** Only what the endpoints send is held back; new connections hang. */
  ANSWERS_HELD
}
