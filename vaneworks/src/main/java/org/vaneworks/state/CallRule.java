package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Rule that determines whether matching calls of a plain service may be repeated.
 *
 * @param method HTTP method
 * @param pathPrefix prefix of the path relative to the service
 * @param repeatable whether such a call may run more than once
 */
public record CallRule(String method, String pathPrefix, boolean repeatable) {
  /** Checks the form of the method and of the path prefix. */
  public CallRule {
    checkArgument(method.matches("[A-Z]+"), "calls.method must be upper case: %s", method);
    checkArgument(pathPrefix.startsWith("/"), "calls.pathPrefix must start with /: %s", pathPrefix);
  }

  /** Returns whether this rule applies to the call. */
  public boolean matches(String calledMethod, String path) {
    return method.equals(calledMethod) && path.startsWith(pathPrefix);
  }
}
