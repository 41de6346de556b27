package org.vaneworks.protocol;

/** Says which field of a document is not accepted, and what is allowed. */
public final class InvalidFieldException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private final String field;

  InvalidFieldException(String field, String problem) {
    super(field + ": " + problem);
    this.field = field;
  }

  /** Returns the field's path. */
  public String field() {
    return field;
  }
}
