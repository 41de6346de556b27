package org.vaneworks.coordination.configuration;

import org.vaneworks.state.ConfigurationHead;

/**
 * Encodes configuration heads and pages as text.
 *
 * <p>Equal pages have equal text, so that the hash of a page's text identifies its content.
 */
public interface ConfigurationFormat {
  /** Encodes a head. */
  String encodeHead(ConfigurationHead head);

  /**
   * Decodes a head.
   *
   * @throws IllegalArgumentException if the text is not a valid head
   */
  ConfigurationHead decodeHead(String text);

  /** Encodes a page. */
  String encodePage(ConfigurationPage page);

  /**
   * Decodes a page.
   *
   * @throws IllegalArgumentException if the text is not a valid page
   */
  ConfigurationPage decodePage(String text);
}
