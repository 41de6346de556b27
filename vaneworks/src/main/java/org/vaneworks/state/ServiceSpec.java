package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * A plain service of a template.
 *
 * @param name as endpoints and callers call it
 * @param calls rules on repetition, the first that matches counts
 */
public record ServiceSpec(String name, ImmutableList<CallRule> calls) {
  /** Checks that the service is named. */
  public ServiceSpec {
    checkArgument(!name.isEmpty(), "services.name must be given");
  }

  /**
   * Returns whether a call may run more than once.
   *
   * <p>A call without a rule may be repeated only if its method is safe in the sense of RFC 9110:
   * the careful reading, since a doubled confirmation does harm and a refused read does not.
   */
  public boolean repeatable(String method, String path) {
    for (CallRule rule : calls) {
      if (rule.matches(method, path)) {
        return rule.repeatable();
      }
    }
    return method.equals("GET") || method.equals("HEAD");
  }
}
