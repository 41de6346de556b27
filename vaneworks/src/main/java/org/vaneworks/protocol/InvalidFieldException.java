package org.vaneworks.protocol;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a field of a document is missing or invalid; the message states what is allowed. */
public final class InvalidFieldException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private final String field;

  InvalidFieldException(String field, String problem) {
    super(field + ": " + problem);
    this.field = field;
  }

  /** Returns one exception with the messages of all problems and the field of the first. */
  static InvalidFieldException all(List<InvalidFieldException> problems) {
    InvalidFieldException first = problems.get(0);
    if (problems.size() == 1) {
      return first;
    }
    String others =
        problems.stream()
            .skip(1)
            .map(InvalidFieldException::getMessage)
            .collect(Collectors.joining("\n"));
    String problem = first.getMessage().substring((first.field() + ": ").length());
    return new InvalidFieldException(first.field(), problem + "\n" + others);
  }

  /** Returns the path of the field in its document. */
  public String field() {
    return field;
  }
}
