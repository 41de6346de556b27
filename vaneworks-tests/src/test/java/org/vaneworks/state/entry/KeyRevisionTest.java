package org.vaneworks.state.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests which keys remain valid after a configuration that was rejected for other fields. */
final class KeyRevisionTest {
  private static final Caller WARD = new Caller("ward", OptionalInt.of(1), 2);
  private static final Caller DESK = new Caller("desk", OptionalInt.empty());
  private static final ApiKeys VALID = ApiKeys.of(Map.of("w1", WARD, "w2", WARD, "d1", DESK));

  private static KeyRevision revision(ImmutableMap<String, ImmutableSet<String>> keys) {
    return new KeyRevision(9, true, keys, ImmutableSet.of());
  }

  @Test
  void revokedKeysAreInvalid() {
    ApiKeys keys = revision(ImmutableMap.of("ward", ImmutableSet.of("w1"))).applyTo(VALID);
    assertEquals(Optional.of(WARD), keys.caller("w1"));
    assertFalse(keys.accept(Optional.of("w2")));
    assertFalse(keys.accept(Optional.of("d1")));
  }

  // Guards against a workspace that is shut out while its keys are exchanged.
  @Test
  void addedKeysAreValid() {
    ApiKeys keys =
        revision(ImmutableMap.of("ward", ImmutableSet.of("w3"), "archive", ImmutableSet.of("a1")))
            .applyTo(VALID);
    assertEquals(Optional.of(WARD), keys.caller("w3"));
    assertEquals(Optional.of(new Caller("archive", OptionalInt.empty())), keys.caller("a1"));
  }

  @Test
  void keyMayMoveToAnotherWorkspace() {
    ApiKeys keys = revision(ImmutableMap.of("desk", ImmutableSet.of("w1"))).applyTo(VALID);
    assertEquals(Optional.of(DESK), keys.caller("w1"));
  }

  @Test
  void workspaceWithUnreadableKeysKeepsThem() {
    ApiKeys keys =
        new KeyRevision(
                9, true, ImmutableMap.of("desk", ImmutableSet.of("w2")), ImmutableSet.of("ward"))
            .applyTo(VALID);
    assertEquals(Optional.of(WARD), keys.caller("w1"));
    assertEquals(Optional.of(DESK), keys.caller("w2"));
    assertFalse(keys.accept(Optional.of("d1")));
  }

  // Guards against routes that open because of a configuration that is not in force.
  @Test
  void revisionWithoutWorkspacesRevokesAllKeysAndOpensNoRoute() {
    ApiKeys keys = KeyRevision.withoutWorkspaces(9).applyTo(VALID);
    assertFalse(keys.accept(Optional.of("w1")));
    assertFalse(keys.accept(Optional.empty()));
  }

  @Test
  void revisionWithoutWorkspacesLeavesOpenRoutesOpen() {
    ApiKeys keys = KeyRevision.withoutWorkspaces(9).applyTo(ApiKeys.notRequired());
    assertTrue(keys.accept(Optional.empty()));
  }

  @Test
  void firstWorkspacesCloseRoutes() {
    ApiKeys keys =
        revision(ImmutableMap.of("ward", ImmutableSet.of("w1"))).applyTo(ApiKeys.notRequired());
    assertFalse(keys.accept(Optional.empty()));
    assertTrue(keys.accept(Optional.of("w1")));
  }

  @Test
  void workspacesMustBeListed() {
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new KeyRevision(
                9, false, ImmutableMap.of("ward", ImmutableSet.of("w1")), ImmutableSet.of()));
  }
}
