package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * A pipeline description with parameters that each workspace fills in.
 *
 * @param name unique among templates
 * @param parameters the parameters that workspaces fill in
 * @param model the model's name
 * @param layers the model's number of layers
 * @param services plain services in addition to the model
 * @param maxInFlight maximum number of requests of one workspace in flight, over all nodes
 * @param maxQueue maximum number of queued requests of one workspace at one node
 * @param maxTokens maximum number of tokens in one answer
 * @param firstTokenMs bound on the time to the first token, in milliseconds
 * @param betweenTokensMs bound on the time between tokens, in milliseconds
 * @param priority {@code high}, {@code normal} or {@code low}
 * @param weight weight of a workspace relative to other workspaces
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
  /** Checks the template's name. */
  public Template {
    checkArgument(ResourceKey.isName(name), "name is %s, allowed: %s", name, ResourceKey.NAME_FORM);
  }
}
