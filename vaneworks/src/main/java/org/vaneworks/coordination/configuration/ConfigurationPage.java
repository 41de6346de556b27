package org.vaneworks.coordination.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;

/**
 * One immutable page of the configuration.
 *
 * @param templates the templates that hash to the page, by name
 * @param workspaces the workspaces that hash to the page, by name
 */
public record ConfigurationPage(
    ImmutableList<Template> templates, ImmutableList<Workspace> workspaces) {
  /** Checks that both lists are given. */
  public ConfigurationPage {
    checkNotNull(templates);
    checkNotNull(workspaces);
  }
}
