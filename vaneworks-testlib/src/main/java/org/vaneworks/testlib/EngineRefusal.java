package org.vaneworks.testlib;

/** Says that an engine stand-in did not start a call, and why. */
public final class EngineRefusal extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final String code;

  EngineRefusal(String code) {
    super(code, null, false, false);
    this.code = code;
  }

  /** Returns why. */
  public String code() {
    return code;
  }
}
