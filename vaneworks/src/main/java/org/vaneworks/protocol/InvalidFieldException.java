package org.vaneworks.protocol;

import java.util.List;
import java.util.stream.Collectors;

/** Says which field of a document is not accepted, and what is allowed. */
public final class InvalidFieldException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private final String field;

  InvalidFieldException(String field, String problem) {
    super(field + ": " + problem);
    this.field = field;
  }

  /** Returns one exception for several problems, named after the first field. */
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

  /** Returns the field's path. */
  public String field() {
    return field;
  }
}
