package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * The API keys in a configuration that was rejected because of other fields. Immutable.
 *
 * <p>A rejected configuration has no effect but for its keys: a revoked key must become invalid
 * within a bounded time, which must not depend on when the other fields are corrected.
 *
 * @param version the version of the rejected configuration
 * @param listsWorkspaces whether the configuration defines workspaces
 * @param keysByWorkspace the keys of each workspace whose keys could be read
 * @param unreadableWorkspaces the workspaces whose lists of keys could not be read
 */
public record KeyRevision(
    long version,
    boolean listsWorkspaces,
    ImmutableMap<String, ImmutableSet<String>> keysByWorkspace,
    ImmutableSet<String> unreadableWorkspaces) {
  /** Checks that only a configuration that defines workspaces has any. */
  public KeyRevision {
    checkArgument(
        listsWorkspaces || (keysByWorkspace.isEmpty() && unreadableWorkspaces.isEmpty()),
        "workspaces of a configuration that defines none: %s",
        keysByWorkspace.keySet());
  }

  /** Returns the revision of a configuration that defines no workspaces. */
  public static KeyRevision withoutWorkspaces(long version) {
    return new KeyRevision(version, false, ImmutableMap.of(), ImmutableSet.of());
  }

  /**
   * Applies this revision to the keys that are valid.
   *
   * <p>Workspaces keep their priorities and weights; a new one has the defaults. If the list of a
   * workspace could not be read, its keys remain valid. Routes that require a key still do, as a
   * rejected configuration opens no route.
   */
  public ApiKeys applyTo(ApiKeys valid) {
    Map<String, Caller> callers = new HashMap<>();
    valid
        .callersByKey()
        .forEach(
            (key, caller) -> {
              if (unreadableWorkspaces.contains(caller.workspace())) {
                callers.put(key, caller);
              }
            });
    keysByWorkspace.forEach(
        (workspace, keys) -> {
          Caller caller =
              valid
                  .callerOfWorkspace(workspace)
                  .orElseGet(() -> new Caller(workspace, OptionalInt.empty()));
          keys.forEach(key -> callers.put(key, caller));
        });
    return valid.required() || listsWorkspaces ? ApiKeys.of(callers) : ApiKeys.notRequired();
  }
}
