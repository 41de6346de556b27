package org.vaneworks.coordination.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.vaneworks.state.ResourceKey;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;

/**
 * What an operator wants changed, all at once.
 *
 * @param changeId unique name of the change
 * @param author who asks
 * @param summary what for
 * @param templates to add or replace
 * @param workspaces to add or replace
 * @param deletions to remove
 */
public record ConfigurationChange(
    String changeId,
    String author,
    String summary,
    ImmutableList<Template> templates,
    ImmutableList<Workspace> workspaces,
    ImmutableSet<ResourceKey> deletions) {
  /** Checks that the change is named. */
  public ConfigurationChange {
    checkArgument(!changeId.isEmpty(), "a change must be named");
  }

  /** Returns the keys of all resources that the change speaks of. */
  public ImmutableSet<ResourceKey> keys() {
    ImmutableSet.Builder<ResourceKey> keys = ImmutableSet.builder();
    templates.forEach(t -> keys.add(new ResourceKey(ResourceKey.Kind.TEMPLATE, t.name())));
    workspaces.forEach(w -> keys.add(new ResourceKey(ResourceKey.Kind.WORKSPACE, w.name())));
    return keys.addAll(deletions).build();
  }
}
