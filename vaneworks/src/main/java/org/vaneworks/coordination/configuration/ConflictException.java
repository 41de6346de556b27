package org.vaneworks.coordination.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.vaneworks.state.ConfigurationHead;
import org.vaneworks.state.ResourceKey;

/** Thrown when a change conflicts with another change that was applied first. */
public final class ConflictException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient ConfigurationHead winner;
  private final transient ImmutableSet<ResourceKey> resources;

  ConflictException(ConfigurationHead winner, ImmutableSet<ResourceKey> resources) {
    super(
        "version "
            + winner.version()
            + " (change "
            + winner.changeId()
            + ") was applied first and changed "
            + resources,
        null,
        false,
        false);
    this.winner = checkNotNull(winner);
    this.resources = checkNotNull(resources);
  }

  /** Returns the head that was applied first. */
  public ConfigurationHead winner() {
    return winner;
  }

  /** Returns the resources that both changes concern. */
  public ImmutableSet<ResourceKey> resources() {
    return resources;
  }
}
