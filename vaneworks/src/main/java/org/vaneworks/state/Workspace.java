package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;

/**
 * A workspace: a template with its parameters filled in.
 *
 * @param name unique among workspaces; callers name it in the path
 * @param template the template's name
 * @param arguments parameter values by name
 */
public record Workspace(String name, String template, ImmutableMap<String, String> arguments) {
  /** Checks that both names are given. */
  public Workspace {
    checkArgument(ResourceKey.isName(name), "name is %s, allowed: %s", name, ResourceKey.NAME_FORM);
    checkArgument(!template.isEmpty(), "workspace %s must name its template", name);
  }
}
