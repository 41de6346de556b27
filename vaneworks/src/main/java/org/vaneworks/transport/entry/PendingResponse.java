package org.vaneworks.transport.entry;

/** The latest response on a caller connection, as seen by that connection. */
interface PendingResponse {
  /** The response of a connection without a request. */
  PendingResponse NONE =
      new PendingResponse() {
        @Override
        public void callerDisconnected() {}

        @Override
        public boolean isTerminated() {
          return true;
        }

        @Override
        public long bufferedBytes() {
          return 0;
        }

        @Override
        public ResponseProgress progress() {
          return ResponseProgress.NONE;
        }
      };

  /** Notifies the response that the caller closed its connection. */
  void callerDisconnected();

  /**
   * Returns whether all of the response was passed to the connection, or the rest was abandoned.
   */
  boolean isTerminated();

  /** Returns the number of bytes that are buffered and not yet passed to the connection. */
  long bufferedBytes();

  /** Returns how much of the response was passed on. */
  ResponseProgress progress();
}
