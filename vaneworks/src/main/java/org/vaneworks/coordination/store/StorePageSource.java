package org.vaneworks.coordination.store;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.state.ConfigurationHead;

/** Reads configuration pages from the platform's store, with one call per page. */
final class StorePageSource implements PageSource {
  private final PlatformStore store;

  StorePageSource(PlatformStore store) {
    this.store = store;
  }

  @Override
  public CompletableFuture<ImmutableMap<String, String>> pages(Set<String> hashes) {
    List<CompletableFuture<Optional<StoreEntry>>> reads = new ArrayList<>();
    List<String> order = List.copyOf(hashes);
    for (String hash : order) {
      reads.add(store.read(ConfigurationHead.pageKey(hash), StorePurpose.PAGE));
    }
    return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .thenApply(done -> collect(order, reads));
  }

  private static ImmutableMap<String, String> collect(
      List<String> order, List<CompletableFuture<Optional<StoreEntry>>> reads) {
    ImmutableMap.Builder<String, String> found = ImmutableMap.builder();
    for (int i = 0; i < order.size(); i++) {
      Optional<StoreEntry> entry = reads.get(i).join();
      if (entry.isPresent()) {
        found.put(order.get(i), entry.get().value());
      }
    }
    return found.buildOrThrow();
  }
}
