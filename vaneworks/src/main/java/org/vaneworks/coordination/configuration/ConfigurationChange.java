package org.vaneworks.coordination.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.vaneworks.state.ResourceKey;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;

/**
 * A change of the configuration by an operator, which is applied atomically.
 *
 * @param changeId unique id of the change
 * @param author author of the change
 * @param summary description of the change
 * @param templates templates to add or replace
 * @param workspaces workspaces to add or replace
 * @param deletions keys of the resources to delete
 */
public record ConfigurationChange(
    String changeId,
    String author,
    String summary,
    ImmutableList<Template> templates,
    ImmutableList<Workspace> workspaces,
    ImmutableSet<ResourceKey> deletions) {
  /** Checks that the change has an id. */
  public ConfigurationChange {
    checkArgument(!changeId.isEmpty(), "change id must not be empty");
  }

  /** Returns the keys of all resources that the change adds, replaces or deletes. */
  public ImmutableSet<ResourceKey> keys() {
    ImmutableSet.Builder<ResourceKey> keys = ImmutableSet.builder();
    templates.forEach(t -> keys.add(new ResourceKey(ResourceKey.Kind.TEMPLATE, t.name())));
    workspaces.forEach(w -> keys.add(new ResourceKey(ResourceKey.Kind.WORKSPACE, w.name())));
    return keys.addAll(deletions).build();
  }
}
