package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;

/**
 * A workspace: a template with its parameters filled in.
 *
 * @param name unique among workspaces; part of the path that callers use
 * @param template the template's name
 * @param arguments parameter values by name
 */
public record Workspace(String name, String template, ImmutableMap<String, String> arguments) {
  /** Checks the name and that a template is named. */
  public Workspace {
    checkArgument(ResourceKey.isName(name), "name is %s, allowed: %s", name, ResourceKey.NAME_FORM);
    checkArgument(!template.isEmpty(), "workspace %s must name its template", name);
  }
}
