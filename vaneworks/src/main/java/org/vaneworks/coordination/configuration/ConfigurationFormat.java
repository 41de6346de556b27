package org.vaneworks.coordination.configuration;

import org.vaneworks.state.ConfigurationHead;

/**
 * The text forms of head and pages.
 *
 * <p>Equal pages have equal text, so that a page's hash names its content.
 */
public interface ConfigurationFormat {
  /** Returns the head's text. */
  String encodeHead(ConfigurationHead head);

  /**
   * Returns the head that the text stands for.
   *
   * @throws IllegalArgumentException if the text is no head
   */
  ConfigurationHead decodeHead(String text);

  /** Returns the page's text. */
  String encodePage(ConfigurationPage page);

  /**
   * Returns the page that the text stands for.
   *
   * @throws IllegalArgumentException if the text is no page
   */
  ConfigurationPage decodePage(String text);
}
