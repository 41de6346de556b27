package org.vaneworks.testlib;

/** Thrown if a simulated engine refuses a call; no part of the call was run. */
public final class EngineRefusal extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final String code;

  EngineRefusal(String code) {
    super(code, null, false, false);
    this.code = code;
  }

  /** Returns the refusal code of the engine protocol. */
  public String code() {
    return code;
  }
}
