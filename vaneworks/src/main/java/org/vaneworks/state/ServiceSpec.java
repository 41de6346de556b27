package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * A plain service that a template describes.
 *
 * @param name name that endpoints and callers use for the service
 * @param calls rules on repeatability; the first matching rule applies
 */
public record ServiceSpec(String name, ImmutableList<CallRule> calls) {
  /** Checks that the service is named. */
  public ServiceSpec {
    checkArgument(!name.isEmpty(), "services.name must be given");
  }

  /**
   * Returns whether a call may run more than once.
   *
   * <p>A call without a matching rule is repeatable only if its method is GET or HEAD, which RFC
   * 9110 defines as safe. This is the conservative default: repeating a write can do harm, while
   * failing a read does not.
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
