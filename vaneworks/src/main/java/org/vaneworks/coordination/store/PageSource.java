package org.vaneworks.coordination.store;

import com.google.common.collect.ImmutableMap;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** A source of configuration pages by hash: a peer, or the platform's store. */
@FunctionalInterface
public interface PageSource {
  /** Returns the texts of the requested pages that this source has, by hash. */
  CompletableFuture<ImmutableMap<String, String>> pages(Set<String> hashes);

  /** Returns a source that reads pages from the platform's store. */
  static PageSource of(PlatformStore store) {
    return new StorePageSource(store);
  }
}
