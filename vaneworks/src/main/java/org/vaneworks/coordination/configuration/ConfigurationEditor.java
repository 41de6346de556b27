package org.vaneworks.coordination.configuration;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Iterables;
import com.google.common.collect.Sets;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.store.PageSource;
import org.vaneworks.coordination.store.PlatformStore;
import org.vaneworks.coordination.store.StoreEntry;
import org.vaneworks.coordination.store.StoreException;
import org.vaneworks.coordination.store.StorePurpose;
import org.vaneworks.state.ChangeRecord;
import org.vaneworks.state.ConfigurationHead;
import org.vaneworks.state.ConfigurationSnapshot;
import org.vaneworks.state.ResourceKey;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;

/**
 * Changes the configuration in the platform's store; the operators' command uses it.
 *
 * <p>A change is accepted by one compare-and-swap of the head, after its immutable pages were
 * written. The whole result is validated against the very head that it replaces. When the answer to
 * the swap is lost, the head is read back and searched for the change's id; sending the swap again
 * is safe, since it can succeed at most once.
 */
public final class ConfigurationEditor {
  private static final int MAX_TRIES = 12;
  private static final Duration FIRST_PAUSE = Duration.ofMillis(50);
  private static final int MAX_DOUBLINGS = 6;

  private final Executor executor;
  private final PlatformStore store;
  private final ConfigurationFormat format;
  private final LongSupplier wallClock;

  private ConfigurationEditor(
      Executor executor, PlatformStore store, ConfigurationFormat format, LongSupplier wallClock) {
    this.executor = checkNotNull(executor);
    this.store = checkNotNull(store);
    this.format = checkNotNull(format);
    this.wallClock = checkNotNull(wallClock);
  }

  /**
   * Returns an editor.
   *
   * @param wallClock milliseconds since 1970, for the history only
   */
  public static ConfigurationEditor create(
      Executor executor, PlatformStore store, ConfigurationFormat format, LongSupplier wallClock) {
    return new ConfigurationEditor(executor, store, format, wallClock);
  }

  /** Reads the configuration in force. */
  public CompletableFuture<StoredConfiguration> load() {
    return store
        .read(ConfigurationHead.KEY, StorePurpose.CHANGE)
        .thenCompose(
            entry -> {
              ConfigurationHead head =
                  entry.map(e -> format.decodeHead(e.value())).orElse(ConfigurationHead.EMPTY);
              return loadPages(head, entry.map(StoreEntry::revision).orElse(0L));
            });
  }

  private CompletableFuture<StoredConfiguration> loadPages(ConfigurationHead head, long revision) {
    return PageSource.of(store)
        .pages(ImmutableSet.copyOf(head.pages().values()))
        .thenApply(texts -> stored(head, revision, texts));
  }

  private StoredConfiguration stored(
      ConfigurationHead head, long revision, Map<String, String> texts) {
    ImmutableMap.Builder<Integer, ConfigurationPage> pages = ImmutableMap.builder();
    head.pages()
        .forEach(
            (number, hash) -> {
              checkArgument(texts.containsKey(hash), "page %s is missing from the store", hash);
              pages.put(number, format.decodePage(texts.get(hash)));
            });
    ImmutableMap<Integer, ConfigurationPage> read = pages.buildOrThrow();
    return new StoredConfiguration(head, revision, read, snapshot(head.version(), read));
  }

  private static ConfigurationSnapshot snapshot(
      long version, Map<Integer, ConfigurationPage> pages) {
    return ConfigurationSnapshot.of(
        version,
        Iterables.concat(Iterables.transform(pages.values(), ConfigurationPage::templates)),
        Iterables.concat(Iterables.transform(pages.values(), ConfigurationPage::workspaces)));
  }

  /**
   * Makes a change.
   *
   * <p>If another change gets in first, this one is made on top of it, unless both touch the same
   * resource.
   *
   * @param onlyAt if present, the only version that the change may replace
   * @return the head that holds the change; fails with {@link ConflictException}, {@link
   *     StoreException} or {@link IllegalArgumentException}
   */
  public CompletableFuture<ConfigurationHead> apply(
      ConfigurationChange change, OptionalLong onlyAt) {
    return load()
        .thenCompose(
            base -> {
              long version = base.head().version();
              if (onlyAt.isPresent() && onlyAt.getAsLong() != version) {
                return CompletableFuture.failedFuture(
                    new ConflictException(base.head(), change.keys()));
              }
              return swap(change, onlyAt, base, base, 1);
            });
  }

  /**
   * Brings back the resources of an earlier version, as a new, higher version.
   *
   * @throws IllegalArgumentException through the future, if the version is not remembered
   */
  public CompletableFuture<ConfigurationHead> rollback(
      long version, String changeId, String author) {
    return load()
        .thenCompose(
            base ->
                archived(base, version)
                    .thenCompose(
                        target ->
                            apply(
                                difference(base, target, changeId, author),
                                OptionalLong.of(base.head().version()))));
  }

  /** Reads an earlier version, which the history must remember. */
  public CompletableFuture<StoredConfiguration> archived(StoredConfiguration now, long version) {
    Optional<ChangeRecord> record =
        now.head().history().stream().filter(r -> r.version() == version).findFirst();
    checkArgument(record.isPresent(), "version %s is not in the history", version);
    return store
        .read(ConfigurationHead.archiveKey(record.get().changeId()), StorePurpose.CHANGE)
        .thenCompose(
            entry -> {
              checkArgument(entry.isPresent(), "version %s was not kept", version);
              return loadPages(format.decodeHead(entry.get().value()), 0);
            });
  }

  private static ConfigurationChange difference(
      StoredConfiguration from, StoredConfiguration to, String changeId, String author) {
    Set<ResourceKey> deletions = new HashSet<>(from.snapshot().keys());
    deletions.removeAll(to.snapshot().keys());
    return new ConfigurationChange(
        changeId,
        author,
        "rollback to version " + to.head().version(),
        to.snapshot().templates().values().asList(),
        to.snapshot().workspaces().values().asList(),
        ImmutableSet.copyOf(deletions));
  }

  private CompletableFuture<ConfigurationHead> swap(
      ConfigurationChange change,
      OptionalLong onlyAt,
      StoredConfiguration first,
      StoredConfiguration base,
      int attempt) {
    ImmutableMap<Integer, ConfigurationPage> pages = changed(base, change);
    long version = base.head().version() + 1;
    // Validates the whole result before anything is written.
    var unused = snapshot(version, pages);
    ImmutableSortedMap.Builder<Integer, String> hashes = ImmutableSortedMap.naturalOrder();
    Map<String, String> texts = new TreeMap<>();
    pages.forEach(
        (number, page) -> {
          String text = format.encodePage(page);
          hashes.put(number, ContentHash.of(text));
          texts.put(ContentHash.of(text), text);
        });
    base.head().pages().values().forEach(texts::remove);
    ConfigurationHead next =
        new ConfigurationHead(
            version, change.changeId(), hashes.buildOrThrow(), history(base.head(), change));
    String nextText = format.encodeHead(next);
    Try made = new Try(change, onlyAt, first, base, attempt);
    return Async.compose(
        writeAll(texts, nextText, change.changeId())
            .thenCompose(done -> swapHead(base.revision(), nextText)),
        (swapped, failure) -> {
          if (failure != null) {
            return afterFailure(made, failure);
          }
          return swapped.isPresent()
              ? CompletableFuture.completedFuture(next)
              : settle(made, Optional.empty());
        });
  }

  /** One try to swap the head, and what the operator's change was made against at first. */
  private record Try(
      ConfigurationChange change,
      OptionalLong onlyAt,
      StoredConfiguration first,
      StoredConfiguration base,
      int attempt) {
    Try again() {
      return new Try(change, onlyAt, first, base, attempt + 1);
    }
  }

  private CompletableFuture<ConfigurationHead> afterFailure(Try made, Throwable cause) {
    if (!(cause instanceof StoreException) || made.attempt() >= MAX_TRIES) {
      return CompletableFuture.failedFuture(cause);
    }
    return pause(made.attempt())
        .thenCompose(waited -> settle(made, Optional.of((StoreException) cause)));
  }

  private CompletableFuture<Void> pause(int attempt) {
    return Async.delay(
        executor, FIRST_PAUSE.multipliedBy(1L << Math.min(attempt - 1, MAX_DOUBLINGS)));
  }

  /** Reads the head back and decides: made already, to be made again on top, or in conflict. */
  private CompletableFuture<ConfigurationHead> settle(Try made, Optional<StoreException> failure) {
    return Async.compose(
        load(),
        (now, unread) ->
            unread == null ? decide(made, now, failure) : afterFailure(made.again(), unread));
  }

  private CompletableFuture<ConfigurationHead> decide(
      Try made, StoredConfiguration now, Optional<StoreException> failure) {
    ConfigurationChange change = made.change();
    if (now.head().historyContains(change.changeId())) {
      return CompletableFuture.completedFuture(now.head());
    }
    boolean moved = now.revision() != made.base().revision();
    ImmutableSet<ResourceKey> both = touchedSince(made.first(), now, change);
    if (moved && (made.onlyAt().isPresent() || !both.isEmpty())) {
      return CompletableFuture.failedFuture(new ConflictException(now.head(), both));
    }
    if (made.attempt() >= MAX_TRIES) {
      return CompletableFuture.failedFuture(
          failure.orElse(StoreException.withoutEffect("too many operators at once")));
    }
    return swap(change, made.onlyAt(), made.first(), now, made.attempt() + 1);
  }

  private static ImmutableSet<ResourceKey> touchedSince(
      StoredConfiguration first, StoredConfiguration now, ConfigurationChange change) {
    return change.keys().stream()
        .filter(key -> !Objects.equals(first.resource(key), now.resource(key)))
        .collect(ImmutableSet.toImmutableSet());
  }

  private CompletableFuture<Void> writeAll(
      Map<String, String> texts, String headText, String changeId) {
    Stream<CompletableFuture<Optional<Long>>> pages =
        texts.entrySet().stream()
            .map(page -> writeNew(ConfigurationHead.pageKey(page.getKey()), page.getValue()));
    var archive = writeArchive(ConfigurationHead.archiveKey(changeId), headText);
    return CompletableFuture.allOf(
        Stream.concat(pages, Stream.of(archive)).toArray(CompletableFuture[]::new));
  }

  /** Writes a value that never changes; that it is there already is as good. */
  private CompletableFuture<Optional<Long>> writeNew(String key, String value) {
    return store.compareAndSwap(key, 0, value, StorePurpose.CHANGE);
  }

  /** Writes the archive of a head, over that of an earlier try of the same change. */
  private CompletableFuture<Optional<Long>> writeArchive(String key, String value) {
    return store
        .read(key, StorePurpose.CHANGE)
        .thenCompose(
            entry ->
                store.compareAndSwap(
                    key, entry.map(StoreEntry::revision).orElse(0L), value, StorePurpose.CHANGE));
  }

  private CompletableFuture<Optional<Long>> swapHead(long revision, String text) {
    return store.compareAndSwap(ConfigurationHead.KEY, revision, text, StorePurpose.CHANGE);
  }

  private ImmutableList<ChangeRecord> history(ConfigurationHead head, ConfigurationChange change) {
    ChangeRecord record =
        new ChangeRecord(
            head.version() + 1,
            change.changeId(),
            change.author(),
            wallClock.getAsLong(),
            change.summary());
    return Stream.concat(Stream.of(record), head.history().stream())
        .limit(ConfigurationHead.HISTORY)
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableMap<Integer, ConfigurationPage> changed(
      StoredConfiguration base, ConfigurationChange change) {
    Map<ResourceKey, Template> templates = new TreeMap<>();
    Map<ResourceKey, Workspace> workspaces = new TreeMap<>();
    base.snapshot().templates().values().forEach(t -> templates.put(keyOf(t), t));
    base.snapshot().workspaces().values().forEach(w -> workspaces.put(keyOf(w), w));
    change.templates().forEach(t -> templates.put(keyOf(t), t));
    change.workspaces().forEach(w -> workspaces.put(keyOf(w), w));
    templates.keySet().removeAll(change.deletions());
    workspaces.keySet().removeAll(change.deletions());
    return toPages(templates, workspaces);
  }

  private static ImmutableMap<Integer, ConfigurationPage> toPages(
      Map<ResourceKey, Template> templates, Map<ResourceKey, Workspace> workspaces) {
    ImmutableListMultimap<Integer, Template> templatesByPage = byPage(templates);
    ImmutableListMultimap<Integer, Workspace> workspacesByPage = byPage(workspaces);
    ImmutableSortedMap.Builder<Integer, ConfigurationPage> pages =
        ImmutableSortedMap.naturalOrder();
    for (int page : Sets.union(templatesByPage.keySet(), workspacesByPage.keySet())) {
      pages.put(page, new ConfigurationPage(templatesByPage.get(page), workspacesByPage.get(page)));
    }
    return pages.buildOrThrow();
  }

  private static <T> ImmutableListMultimap<Integer, T> byPage(Map<ResourceKey, T> resources) {
    ImmutableListMultimap.Builder<Integer, T> pages = ImmutableListMultimap.builder();
    resources.forEach((key, resource) -> pages.put(key.page(), resource));
    return pages.build();
  }

  private static ResourceKey keyOf(Template template) {
    return new ResourceKey(ResourceKey.Kind.TEMPLATE, template.name());
  }

  private static ResourceKey keyOf(Workspace workspace) {
    return new ResourceKey(ResourceKey.Kind.WORKSPACE, workspace.name());
  }
}
