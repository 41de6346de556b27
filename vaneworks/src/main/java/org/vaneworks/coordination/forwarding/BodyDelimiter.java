package org.vaneworks.coordination.forwarding;

/** What marked the end of a response's body. */
public enum BodyDelimiter {
  /** The length in the head, or a status that has no body. */
  LENGTH("length"),

  /** The last chunk. */
  LAST_CHUNK("last-chunk"),

  /**
   * The close of the connection. The sender states no end, so a response that was broken off can't
   * be told from a complete one by its framing.
   */
  CONNECTION_CLOSE("connection-close");

  private final String code;

  BodyDelimiter(String code) {
    this.code = code;
  }

  /** Returns the code for logs and metrics. */
  public String code() {
    return code;
  }
}
