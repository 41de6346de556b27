package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A complete and validated configuration, with the resolved plan of every workspace.
 *
 * <p>Immutable.
 */
public final class ConfigurationSnapshot {
  private static final ConfigurationSnapshot EMPTY =
      new ConfigurationSnapshot(0, ImmutableSortedMap.of(), ImmutableSortedMap.of());

  private final long version;
  private final ImmutableSortedMap<String, Template> templates;
  private final ImmutableSortedMap<String, Workspace> workspaces;
  private final ImmutableMap<String, WorkspacePlan> plans;

  private ConfigurationSnapshot(
      long version,
      ImmutableSortedMap<String, Template> templates,
      ImmutableSortedMap<String, Workspace> workspaces) {
    this.version = version;
    this.templates = templates;
    this.workspaces = workspaces;
    this.plans = resolveAll(templates, workspaces);
  }

  /** Returns the configuration before the first change. */
  public static ConfigurationSnapshot empty() {
    return EMPTY;
  }

  /**
   * Returns the configuration that consists of the given resources.
   *
   * <p>Runs in time linear in the number of resources.
   *
   * @throws IllegalArgumentException if the configuration is not valid as a whole; the message
   *     names each offending resource and field
   */
  public static ConfigurationSnapshot of(
      long version, Iterable<Template> templates, Iterable<Workspace> workspaces) {
    Map<String, Template> templatesByName = new HashMap<>();
    templates.forEach(template -> templatesByName.put(template.name(), template));
    Map<String, Workspace> workspacesByName = new HashMap<>();
    workspaces.forEach(workspace -> workspacesByName.put(workspace.name(), workspace));
    return new ConfigurationSnapshot(
        version,
        ImmutableSortedMap.copyOf(templatesByName),
        ImmutableSortedMap.copyOf(workspacesByName));
  }

  private static ImmutableMap<String, WorkspacePlan> resolveAll(
      Map<String, Template> templates, Map<String, Workspace> workspaces) {
    ImmutableMap.Builder<String, WorkspacePlan> plans = ImmutableMap.builder();
    List<String> problems = new ArrayList<>();
    for (Template template : templates.values()) {
      problems.addAll(defaultProblems(template));
    }
    for (Workspace workspace : workspaces.values()) {
      try {
        Template template = templates.get(workspace.template());
        checkArgument(template != null, "template: none is named %s", workspace.template());
        plans.put(workspace.name(), WorkspacePlan.resolve(template, workspace));
      } catch (IllegalArgumentException e) {
        problems.add("workspace/" + workspace.name() + ": " + e.getMessage());
      }
    }
    checkArgument(problems.isEmpty(), "%s", String.join("; ", problems));
    return plans.buildOrThrow();
  }

  private static ImmutableList<String> defaultProblems(Template template) {
    ImmutableList.Builder<String> problems = ImmutableList.builder();
    for (ParameterSpec parameter : template.parameters()) {
      try {
        parameter.defaultValue().ifPresent(parameter::check);
      } catch (IllegalArgumentException e) {
        problems.add("template/" + template.name() + ": default of " + e.getMessage());
      }
    }
    return problems.build();
  }

  /** Returns the version of the head that lists the pages of this configuration. */
  public long version() {
    return version;
  }

  /** Returns the templates by name. */
  public ImmutableSortedMap<String, Template> templates() {
    return templates;
  }

  /** Returns the workspaces by name. */
  public ImmutableSortedMap<String, Workspace> workspaces() {
    return workspaces;
  }

  /** Returns the resolved plan of a workspace, if the workspace exists. */
  public Optional<WorkspacePlan> plan(String workspace) {
    return Optional.ofNullable(plans.get(workspace));
  }

  /** Returns the keys of all resources, sorted. */
  public ImmutableSortedSet<ResourceKey> keys() {
    ImmutableSortedSet.Builder<ResourceKey> keys = ImmutableSortedSet.naturalOrder();
    for (String name : templates.keySet()) {
      keys.add(new ResourceKey(ResourceKey.Kind.TEMPLATE, name));
    }
    for (String name : workspaces.keySet()) {
      keys.add(new ResourceKey(ResourceKey.Kind.WORKSPACE, name));
    }
    return keys.build();
  }
}
