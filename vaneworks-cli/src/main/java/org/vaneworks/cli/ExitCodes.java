package org.vaneworks.cli;

/** The exit codes of {@code vaneworks}, which docs/OPERATIONS.md documents. */
final class ExitCodes {
  static final int OK = 0;
  static final int FAILED = 1;
  static final int NOT_ACCEPTED = 2;
  static final int CONFLICT = 3;
  static final int STORE_UNAVAILABLE = 4;
  static final int OUTCOME_UNKNOWN = 5;
  static final int NOT_IN_FORCE = 6;
  static final int DIFFERENT = 7;

  private ExitCodes() {}
}
