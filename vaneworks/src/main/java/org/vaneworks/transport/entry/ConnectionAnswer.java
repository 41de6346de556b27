package org.vaneworks.transport.entry;

/** An answer as its connection sees it. */
interface ConnectionAnswer {
  /** Takes note that the caller closed its connection. */
  void callerGone();

  /** Returns whether nothing of it is held back from the connection. */
  boolean isPassedOn();

  /** Returns how many bytes of it are held back. */
  long heldBytes();
}
