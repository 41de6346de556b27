package org.vaneworks.state;

/**
 * Something that requests may have in common, by which requests that crash endpoints are
 * recognized. The text form identifies a trait among all kinds.
 */
public sealed interface RequestTrait permits RequestContent, PromptPart {
  /**
   * Parses the text form of a trait.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  static RequestTrait parse(String text) {
    return text.indexOf(PromptPart.SEPARATOR) >= 0
        ? PromptPart.parse(text)
        : new RequestContent(text);
  }
}
