package org.vaneworks.coordination.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.vaneworks.state.ConfigurationHead;
import org.vaneworks.state.ConfigurationSnapshot;
import org.vaneworks.state.ResourceKey;

/**
 * The configuration as read from the store.
 *
 * @param head the head
 * @param revision the head's revision in the store; 0 if there is no head yet
 * @param pages the pages by number
 * @param snapshot all resources, validated
 */
public record StoredConfiguration(
    ConfigurationHead head,
    long revision,
    ImmutableMap<Integer, ConfigurationPage> pages,
    ConfigurationSnapshot snapshot) {
  /** Checks that no component is null. */
  public StoredConfiguration {
    checkNotNull(head);
    checkNotNull(pages);
    checkNotNull(snapshot);
  }

  /** Returns the template or workspace with the given key; empty if there is none. */
  public Optional<Record> resource(ResourceKey key) {
    return Optional.ofNullable(
        switch (key.kind()) {
          case TEMPLATE -> snapshot.templates().get(key.name());
          case WORKSPACE -> snapshot.workspaces().get(key.name());
        });
  }
}
