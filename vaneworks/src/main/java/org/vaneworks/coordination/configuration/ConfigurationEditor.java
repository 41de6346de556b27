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
 * Changes the configuration in the platform's store; used by the command line.
 *
 * <p>A change takes effect by one compare-and-swap of the head, after its immutable pages have been
 * written. The complete result is validated against the same head that the swap replaces. If the
 * response to the swap is lost, the head is read back and its history searched for the id of the
 * change. Retrying the swap is safe, because it can succeed at most once.
 */
public final class ConfigurationEditor {
  private static final int MAX_ATTEMPTS = 12;
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
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
   * @param wallClock milliseconds since the Unix epoch; used only for the history
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
        .thenApply(texts -> decode(head, revision, texts));
  }

  private StoredConfiguration decode(
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
   * Applies a change.
   *
   * <p>If another change was applied concurrently, this one is rebased onto it, unless both concern
   * the same resource.
   *
   * @param expectedVersion if present, the only version that the change may replace
   * @return the head that contains the change; fails with {@link ConflictException}, {@link
   *     StoreException} or {@link IllegalArgumentException}
   */
  public CompletableFuture<ConfigurationHead> apply(
      ConfigurationChange change, OptionalLong expectedVersion) {
    return load()
        .thenCompose(
            base -> {
              long version = base.head().version();
              if (expectedVersion.isPresent() && expectedVersion.getAsLong() != version) {
                return CompletableFuture.failedFuture(
                    new ConflictException(base.head(), change.keys()));
              }
              return swap(change, expectedVersion, base, base, 1);
            });
  }

  /**
   * Restores the resources of an earlier version, as a new, higher version.
   *
   * @return the new head; fails with {@link IllegalArgumentException} if the version is not in the
   *     history
   */
  public CompletableFuture<ConfigurationHead> rollback(
      long version, String changeId, String author) {
    return load()
        .thenCompose(
            base ->
                loadArchived(base, version)
                    .thenCompose(
                        target ->
                            apply(
                                difference(base, target, changeId, author),
                                OptionalLong.of(base.head().version()))));
  }

  /** Reads an earlier version, which must be in the history of the current configuration. */
  public CompletableFuture<StoredConfiguration> loadArchived(
      StoredConfiguration current, long version) {
    Optional<ChangeRecord> record =
        current.head().history().stream().filter(r -> r.version() == version).findFirst();
    checkArgument(record.isPresent(), "version %s is not in the history", version);
    return store
        .read(ConfigurationHead.archiveKey(record.get().changeId()), StorePurpose.CHANGE)
        .thenCompose(
            entry -> {
              checkArgument(entry.isPresent(), "version %s is no longer archived", version);
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
      OptionalLong expectedVersion,
      StoredConfiguration original,
      StoredConfiguration base,
      int attemptNumber) {
    ImmutableMap<Integer, ConfigurationPage> pages = pagesAfter(base, change);
    long version = base.head().version() + 1;
    // Validates the complete result before anything is written.
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
    SwapAttempt attempt = new SwapAttempt(change, expectedVersion, original, base, attemptNumber);
    return Async.compose(
        writeAll(texts, nextText, change.changeId())
            .thenCompose(done -> swapHead(base.revision(), nextText)),
        (swapped, failure) -> {
          if (failure != null) {
            return afterFailure(attempt, failure);
          }
          return swapped.isPresent()
              ? CompletableFuture.completedFuture(next)
              : reconcile(attempt, Optional.empty());
        });
  }

  /** One attempt to swap the head, with the configuration that the change was first based on. */
  private record SwapAttempt(
      ConfigurationChange change,
      OptionalLong expectedVersion,
      StoredConfiguration original,
      StoredConfiguration base,
      int attemptNumber) {
    SwapAttempt next() {
      return new SwapAttempt(change, expectedVersion, original, base, attemptNumber + 1);
    }
  }

  private CompletableFuture<ConfigurationHead> afterFailure(SwapAttempt attempt, Throwable cause) {
    if (!(cause instanceof StoreException) || attempt.attemptNumber() >= MAX_ATTEMPTS) {
      return CompletableFuture.failedFuture(cause);
    }
    return backoff(attempt.attemptNumber())
        .thenCompose(waited -> reconcile(attempt, Optional.of((StoreException) cause)));
  }

  private CompletableFuture<Void> backoff(int attemptNumber) {
    return Async.delay(
        executor, INITIAL_BACKOFF.multipliedBy(1L << Math.min(attemptNumber - 1, MAX_DOUBLINGS)));
  }

  /**
   * Reads the head back after an unsuccessful or unanswered swap, and determines whether the change
   * was applied, has to be retried on the current head, or conflicts with another change.
   */
  private CompletableFuture<ConfigurationHead> reconcile(
      SwapAttempt attempt, Optional<StoreException> failure) {
    return Async.compose(
        load(),
        (current, loadFailure) ->
            loadFailure == null
                ? resolve(attempt, current, failure)
                : afterFailure(attempt.next(), loadFailure));
  }

  private CompletableFuture<ConfigurationHead> resolve(
      SwapAttempt attempt, StoredConfiguration current, Optional<StoreException> failure) {
    ConfigurationChange change = attempt.change();
    if (current.head().historyContains(change.changeId())) {
      return CompletableFuture.completedFuture(current.head());
    }
    boolean headChanged = current.revision() != attempt.base().revision();
    ImmutableSet<ResourceKey> conflicting = changedSince(attempt.original(), current, change);
    if (headChanged && (attempt.expectedVersion().isPresent() || !conflicting.isEmpty())) {
      return CompletableFuture.failedFuture(new ConflictException(current.head(), conflicting));
    }
    if (attempt.attemptNumber() >= MAX_ATTEMPTS) {
      return CompletableFuture.failedFuture(
          failure.orElse(StoreException.withoutEffect("too many concurrent changes")));
    }
    return swap(
        change,
        attempt.expectedVersion(),
        attempt.original(),
        current,
        attempt.attemptNumber() + 1);
  }

  private static ImmutableSet<ResourceKey> changedSince(
      StoredConfiguration original, StoredConfiguration current, ConfigurationChange change) {
    return change.keys().stream()
        .filter(key -> !Objects.equals(original.resource(key), current.resource(key)))
        .collect(ImmutableSet.toImmutableSet());
  }

  private CompletableFuture<Void> writeAll(
      Map<String, String> texts, String headText, String changeId) {
    Stream<CompletableFuture<Optional<Long>>> pages =
        texts.entrySet().stream()
            .map(page -> writeImmutable(ConfigurationHead.pageKey(page.getKey()), page.getValue()));
    var archive = writeArchive(ConfigurationHead.archiveKey(changeId), headText);
    return CompletableFuture.allOf(
        Stream.concat(pages, Stream.of(archive)).toArray(CompletableFuture[]::new));
  }

  /** Writes an immutable value; does nothing if it already exists. */
  private CompletableFuture<Optional<Long>> writeImmutable(String key, String value) {
    return store.compareAndSwap(key, 0, value, StorePurpose.CHANGE);
  }

  /** Writes the archive of a head, replacing that of an earlier attempt of the same change. */
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

  private static ImmutableMap<Integer, ConfigurationPage> pagesAfter(
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
