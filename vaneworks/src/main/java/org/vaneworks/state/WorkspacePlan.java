package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A workspace's template with all parameters resolved: the limits and bounds of its requests.
 *
 * @param workspace the workspace's name
 * @param model the model's name
 * @param layers the model's number of layers
 * @param services plain services
 * @param maxInFlight maximum number of requests in flight, over all nodes
 * @param maxQueue maximum number of queued requests at one node
 * @param maxTokens maximum number of tokens in one answer
 * @param firstToken bound on the time to the first token
 * @param betweenTokens bound on the time between tokens
 * @param priority priority of requests that give none
 * @param weight weight relative to other workspaces
 */
public record WorkspacePlan(
    String workspace,
    String model,
    int layers,
    ImmutableList<ServiceSpec> services,
    int maxInFlight,
    int maxQueue,
    int maxTokens,
    Duration firstToken,
    Duration betweenTokens,
    Priority priority,
    int weight) {
  private static final int MAX_LAYERS = 1_000;
  private static final int MAX_IN_FLIGHT = 100_000;
  private static final int MAX_QUEUE = 10_000;

  /** Largest number of tokens that a workspace may allow in one answer. */
  public static final int MAX_TOKENS = 32_768;

  private static final int MAX_BOUND_MS = 600_000;
  private static final int MAX_WEIGHT = 1_000;

  /**
   * Resolves a template with the arguments of a workspace.
   *
   * @throws IllegalArgumentException if a value is missing or not allowed; the message names the
   *     field
   */
  static WorkspacePlan resolve(Template template, Workspace workspace) {
    Map<String, String> arguments = arguments(template, workspace);
    int firstTokenMs =
        template.firstTokenMs().resolveInt("bounds.firstTokenMs", arguments, 1, MAX_BOUND_MS);
    int betweenTokensMs =
        template.betweenTokensMs().resolveInt("bounds.betweenTokensMs", arguments, 1, MAX_BOUND_MS);
    return new WorkspacePlan(
        workspace.name(),
        template.model().resolve("model.name", arguments),
        template.layers().resolveInt("model.layers", arguments, 1, MAX_LAYERS),
        template.services(),
        template.maxInFlight().resolveInt("limits.maxInFlight", arguments, 1, MAX_IN_FLIGHT),
        template.maxQueue().resolveInt("limits.maxQueue", arguments, 0, MAX_QUEUE),
        template.maxTokens().resolveInt("limits.maxTokens", arguments, 1, MAX_TOKENS),
        Duration.ofMillis(firstTokenMs),
        Duration.ofMillis(betweenTokensMs),
        parsePriority(template.priority().resolve("priority", arguments)),
        template.weight().resolveInt("weight", arguments, 1, MAX_WEIGHT));
  }

  private static Map<String, String> arguments(Template template, Workspace workspace) {
    Map<String, String> arguments = new HashMap<>();
    for (ParameterSpec parameter : template.parameters()) {
      Optional<String> given = Optional.ofNullable(workspace.arguments().get(parameter.name()));
      Optional<String> value = given.or(parameter::defaultValue);
      checkArgument(value.isPresent(), "parameters.%s must be given", parameter.name());
      arguments.put(parameter.name(), parameter.check(value.get()));
    }
    for (String name : workspace.arguments().keySet()) {
      checkArgument(arguments.containsKey(name), "parameters.%s is not in the template", name);
    }
    return arguments;
  }

  private static Priority parsePriority(String text) {
    try {
      return Priority.valueOf(text.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("priority is " + text + ", allowed: high, normal, low", e);
    }
  }

  /** Returns the range of all layers of the model. */
  public LayerRange span() {
    return LayerRange.of(0, layers);
  }

  /** Returns the plain service with the given name, if there is one. */
  public Optional<ServiceSpec> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }
}
