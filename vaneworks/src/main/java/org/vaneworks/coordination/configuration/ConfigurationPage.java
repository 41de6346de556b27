package org.vaneworks.coordination.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;

/**
 * One immutable page of the configuration.
 *
 * @param templates the templates that hash to the page, sorted by name
 * @param workspaces the workspaces that hash to the page, sorted by name
 */
public record ConfigurationPage(
    ImmutableList<Template> templates, ImmutableList<Workspace> workspaces) {
  /** Checks that no component is null. */
  public ConfigurationPage {
    checkNotNull(templates);
    checkNotNull(workspaces);
  }
}
