package org.vaneworks.coordination.configuration;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.vaneworks.coordination.store.PageSource;
import org.vaneworks.state.ConfigurationHead;
import org.vaneworks.state.ConfigurationSnapshot;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * The configuration in force on this node; its version only ever increases.
 *
 * <p>New heads are offered by the store's watch, by polling, and by peers. Thread-safe. The lock is
 * held only while references are replaced, not while pages are fetched.
 */
public final class ActiveConfiguration {
  private final ConfigurationFormat format;
  private final PageSource store;
  private final Executor executor;
  private final List<Consumer<ConfigurationSnapshot>> listeners = new CopyOnWriteArrayList<>();

  @GuardedBy("this")
  private Optional<ConfigurationHead> head = Optional.empty();

  @GuardedBy("this")
  private String headText = "";

  @GuardedBy("this")
  private Map<String, String> pages = new HashMap<>();

  /** Decoded pages in force, kept because a change usually replaces only one page. */
  @GuardedBy("this")
  private Map<String, ConfigurationPage> decodedPages = new HashMap<>();

  private volatile ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();
  private volatile boolean loaded;

  private ActiveConfiguration(Executor executor, ConfigurationFormat format, PageSource store) {
    this.executor = checkNotNull(executor);
    this.format = checkNotNull(format);
    this.store = checkNotNull(store);
  }

  /**
   * Returns an instance without a configuration in force.
   *
   * @param store source of pages that the offering side does not have
   */
  public static ActiveConfiguration create(
      Executor executor, ConfigurationFormat format, PageSource store) {
    return new ActiveConfiguration(executor, format, store);
  }

  /** Adds a listener that receives each newer configuration. */
  public void onChange(Consumer<ConfigurationSnapshot> listener) {
    listeners.add(checkNotNull(listener));
  }

  /** Returns the configuration in force. */
  public ConfigurationSnapshot snapshot() {
    return snapshot;
  }

  /** Returns whether a configuration has been loaded, including the empty one. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the version in force. */
  public long version() {
    return snapshot.version();
  }

  /** Returns the encoded head in force; empty if there is none. */
  public synchronized String headText() {
    return headText;
  }

  /** Returns the texts of the given pages that are in force, by hash. */
  public synchronized ImmutableMap<String, String> pages(Set<String> hashes) {
    return ImmutableMap.copyOf(Maps.filterKeys(pages, hashes::contains));
  }

  /** Records that the store has no head yet, so that the empty configuration is in force. */
  public void offerEmpty() {
    loaded = true;
  }

  /**
   * Puts a head into force if it is newer than the current one.
   *
   * @param text the encoded head
   * @param preferredSource preferred source of missing pages
   * @return completes when this head, or a newer one, is in force; fails if the head cannot be
   *     decoded or its pages cannot be fetched
   */
  public CompletableFuture<Void> offer(String text, PageSource preferredSource) {
    ConfigurationHead offered;
    try {
      offered = format.decodeHead(text);
    } catch (IllegalArgumentException e) {
      EventLog.warn(Event.CONFIGURATION_UNREADABLE, "cause", e.getMessage());
      return CompletableFuture.failedFuture(e);
    }
    if (isStale(offered)) {
      return CompletableFuture.completedFuture(null);
    }
    Set<String> required = new HashSet<>(offered.pages().values());
    Map<String, String> available = new HashMap<>(pages(required));
    return fetchMissing(preferredSource, required, available)
        .exceptionally(ignored -> null)
        .thenCompose(done -> fetchMissing(store, required, available))
        .thenAcceptAsync(done -> activate(offered, text, available), executor::execute);
  }

  private boolean isStale(ConfigurationHead offered) {
    if (loaded && offered.version() < version()) {
      EventLog.info(
          Event.CONFIGURATION_STALE_IGNORED, "offered", offered.version(), "version", version());
    }
    return loaded && offered.version() <= version();
  }

  private CompletableFuture<Void> fetchMissing(
      PageSource source, Set<String> required, Map<String, String> available) {
    Set<String> missing = Set.copyOf(Sets.difference(required, available.keySet()));
    if (missing.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return source.pages(missing).thenAccept(found -> putVerified(found, available));
  }

  /** Adds the pages whose text matches their hash; pages of any source are verified. */
  private static void putVerified(Map<String, String> found, Map<String, String> available) {
    found.forEach(
        (hash, text) -> {
          if (ContentHash.of(text).equals(hash)) {
            available.put(hash, text);
          }
        });
  }

  private void activate(ConfigurationHead offered, String text, Map<String, String> texts) {
    Map<String, ConfigurationPage> nextPages = decodePages(offered, texts);
    ConfigurationSnapshot next = snapshotOf(offered, nextPages);
    synchronized (this) {
      if (loaded && offered.version() <= version()) {
        return;
      }
      head = Optional.of(offered);
      headText = text;
      pages = texts;
      decodedPages = nextPages;
      snapshot = next;
      loaded = true;
    }
    EventLog.info(
        Event.CONFIGURATION_IN_FORCE, "version", next.version(), "change", offered.changeId());
    listeners.forEach(listener -> listener.accept(next));
  }

  private Map<String, ConfigurationPage> decodePages(
      ConfigurationHead offered, Map<String, String> texts) {
    Map<String, ConfigurationPage> known;
    synchronized (this) {
      known = decodedPages;
    }
    Map<String, ConfigurationPage> next = new HashMap<>();
    for (String hash : offered.pages().values()) {
      checkArgument(texts.containsKey(hash), "page %s could not be fetched", hash);
      ConfigurationPage page = known.get(hash);
      next.put(hash, page == null ? format.decodePage(texts.get(hash)) : page);
    }
    return next;
  }

  private static ConfigurationSnapshot snapshotOf(
      ConfigurationHead offered, Map<String, ConfigurationPage> pages) {
    List<Template> templates = new ArrayList<>();
    List<Workspace> workspaces = new ArrayList<>();
    for (ConfigurationPage page : pages.values()) {
      templates.addAll(page.templates());
      workspaces.addAll(page.workspaces());
    }
    return ConfigurationSnapshot.of(offered.version(), templates, workspaces);
  }

  /** Returns the head in force; empty if there is none. */
  public synchronized Optional<ConfigurationHead> head() {
    return head;
  }
}
