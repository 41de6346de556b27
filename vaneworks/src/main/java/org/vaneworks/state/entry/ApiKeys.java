package org.vaneworks.state.entry;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;

/**
 * The API keys of a configuration, and whether requests require one. Immutable.
 *
 * <p>A configuration that defines workspaces requires keys even if no key is left: revoking the
 * last key must not open the routes to everybody.
 */
public final class ApiKeys {
  private static final ApiKeys NOT_REQUIRED = new ApiKeys(false, ImmutableMap.of());

  private final boolean required;
  private final ImmutableMap<String, Caller> callersByKey;

  private ApiKeys(boolean required, ImmutableMap<String, Caller> callersByKey) {
    this.required = required;
    this.callersByKey = callersByKey;
  }

  /**
   * Returns the keys of a configuration without workspaces: requests need none, and no key is
   * valid.
   */
  public static ApiKeys notRequired() {
    return NOT_REQUIRED;
  }

  /**
   * Returns the keys of a configuration with workspaces.
   *
   * @param callersByKey callers by their secret keys; if empty, every key is unknown
   */
  public static ApiKeys of(Map<String, Caller> callersByKey) {
    return new ApiKeys(true, ImmutableMap.copyOf(callersByKey));
  }

  /** Returns whether requests on routes that are not open require a key. */
  public boolean required() {
    return required;
  }

  /**
   * Returns whether a request with the given key, or without one, may use routes that are not open.
   *
   * <p>A key that no workspace holds is never accepted. This includes configurations without
   * workspaces, which follow the revocation of all keys, and which don't tell revoked keys from
   * others.
   */
  public boolean accept(Optional<String> key) {
    return key.isPresent() ? callersByKey.containsKey(key.get()) : !required;
  }

  /** Returns the caller that a key identifies. */
  public Optional<Caller> caller(String key) {
    return Optional.ofNullable(callersByKey.get(key));
  }

  /** Returns the caller that the keys of a workspace identify, if the workspace has a key. */
  Optional<Caller> callerOfWorkspace(String workspace) {
    return callersByKey.values().stream()
        .filter(caller -> caller.workspace().equals(workspace))
        .findFirst();
  }

  /** Returns the callers by their secret keys. */
  ImmutableMap<String, Caller> callersByKey() {
    return callersByKey;
  }
}
