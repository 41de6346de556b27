package org.vaneworks.coordination.store;

import com.google.common.collect.ImmutableMap;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Gives configuration pages by hash: a peer, or the platform's store. */
@FunctionalInterface
public interface PageSource {
  /** Returns the texts of those of the pages that it has, by hash. */
  CompletableFuture<ImmutableMap<String, String>> pages(Set<String> hashes);

  /** Returns the source that reads the platform's store. */
  static PageSource of(PlatformStore store) {
    return new StorePages(store);
  }
}
