package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * A pipeline described once, for workspaces to fill in.
 *
 * @param name unique among templates
 * @param parameters what workspaces fill in
 * @param model the model's name
 * @param layers how many layers the model has
 * @param services plain services beside the model
 * @param maxInFlight most requests of one workspace in flight, over all nodes
 * @param maxQueue most requests of one workspace waiting at one node
 * @param maxTokens most tokens of one answer
 * @param firstTokenMs bound on the first token, milliseconds
 * @param betweenTokensMs bound between tokens, milliseconds
 * @param priority {@code high}, {@code normal} or {@code low}
 * @param weight share beside other workspaces
 */
public record Template(
    String name,
    ImmutableList<ParameterSpec> parameters,
    Setting model,
    Setting layers,
    ImmutableList<ServiceSpec> services,
    Setting maxInFlight,
    Setting maxQueue,
    Setting maxTokens,
    Setting firstTokenMs,
    Setting betweenTokensMs,
    Setting priority,
    Setting weight) {
  /** Checks that the template is named. */
  public Template {
    checkArgument(ResourceKey.isName(name), "name is %s, allowed: %s", name, ResourceKey.NAME_FORM);
  }
}
