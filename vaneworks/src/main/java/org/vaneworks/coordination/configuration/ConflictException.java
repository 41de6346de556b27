package org.vaneworks.coordination.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.vaneworks.state.ConfigurationHead;
import org.vaneworks.state.ResourceKey;

/** Says that another change got in first and touched the same resources. */
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
            + ") got in first and touched "
            + resources,
        null,
        false,
        false);
    this.winner = checkNotNull(winner);
    this.resources = checkNotNull(resources);
  }

  /** Returns the head that got in first. */
  public ConfigurationHead winner() {
    return winner;
  }

  /** Returns the resources that both changes touch. */
  public ImmutableSet<ResourceKey> resources() {
    return resources;
  }
}
