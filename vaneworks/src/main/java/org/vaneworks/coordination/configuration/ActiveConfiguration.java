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
 * The configuration in force on this node; it only ever moves to a higher version.
 *
 * <p>Heads are offered by whoever hears of one: the store's watch, the slow poll, a peer. Thread-
 * safe; the lock is held for the exchange of references only, not while pages are fetched.
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

  /** Pages in force, read: a change replaces one page, so the others needn't be read again. */
  @GuardedBy("this")
  private Map<String, ConfigurationPage> readPages = new HashMap<>();

  private volatile ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();
  private volatile boolean loaded;

  private ActiveConfiguration(Executor executor, ConfigurationFormat format, PageSource store) {
    this.executor = checkNotNull(executor);
    this.format = checkNotNull(format);
    this.store = checkNotNull(store);
  }

  /**
   * Returns a board with nothing in force.
   *
   * @param store where pages are read that the offering side doesn't have
   */
  public static ActiveConfiguration create(
      Executor executor, ConfigurationFormat format, PageSource store) {
    return new ActiveConfiguration(executor, format, store);
  }

  /** Adds a listener that is told of each newer configuration. */
  public void onChange(Consumer<ConfigurationSnapshot> listener) {
    listeners.add(checkNotNull(listener));
  }

  /** Returns the configuration in force. */
  public ConfigurationSnapshot snapshot() {
    return snapshot;
  }

  /** Returns whether any head was read, if only the empty one. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the version in force. */
  public long version() {
    return snapshot.version();
  }

  /** Returns the text of the head in force; empty if none. */
  public synchronized String headText() {
    return headText;
  }

  /** Returns the texts of those of the pages that are in force here, by hash. */
  public synchronized ImmutableMap<String, String> pages(Set<String> hashes) {
    return ImmutableMap.copyOf(Maps.filterKeys(pages, hashes::contains));
  }

  /** Takes note that the store holds no head yet: the empty configuration is in force. */
  public void offerEmpty() {
    loaded = true;
  }

  /**
   * Brings a head in force if it is newer.
   *
   * @param near asked first for missing pages
   * @return done once the head, or a newer one, is in force; fails if pages could not be had
   */
  public CompletableFuture<Void> offer(String text, PageSource near) {
    ConfigurationHead offered;
    try {
      offered = format.decodeHead(text);
    } catch (IllegalArgumentException e) {
      EventLog.warn(Event.CONFIGURATION_UNREADABLE, "cause", e.getMessage());
      return CompletableFuture.failedFuture(e);
    }
    if (isOld(offered)) {
      return CompletableFuture.completedFuture(null);
    }
    Set<String> wanted = new HashSet<>(offered.pages().values());
    Map<String, String> have = new HashMap<>(pages(wanted));
    return fetchMissing(near, wanted, have)
        .exceptionally(ignored -> null)
        .thenCompose(done -> fetchMissing(store, wanted, have))
        .thenAcceptAsync(done -> enforce(offered, text, have), executor::execute);
  }

  private boolean isOld(ConfigurationHead offered) {
    if (loaded && offered.version() < version()) {
      EventLog.info(
          Event.CONFIGURATION_STALE_IGNORED, "offered", offered.version(), "version", version());
    }
    return loaded && offered.version() <= version();
  }

  private CompletableFuture<Void> fetchMissing(
      PageSource source, Set<String> wanted, Map<String, String> have) {
    Set<String> missing = Set.copyOf(Sets.difference(wanted, have.keySet()));
    if (missing.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return source.pages(missing).thenAccept(found -> putChecked(found, have));
  }

  /** A page counts only if its text has the hash that names it, whoever gave it. */
  private static void putChecked(Map<String, String> found, Map<String, String> have) {
    found.forEach(
        (hash, text) -> {
          if (ContentHash.of(text).equals(hash)) {
            have.put(hash, text);
          }
        });
  }

  private void enforce(ConfigurationHead offered, String text, Map<String, String> texts) {
    Map<String, ConfigurationPage> nextPages = readPages(offered, texts);
    ConfigurationSnapshot next = snapshotOf(offered, nextPages);
    synchronized (this) {
      if (loaded && offered.version() <= version()) {
        return;
      }
      head = Optional.of(offered);
      headText = text;
      pages = texts;
      readPages = nextPages;
      snapshot = next;
      loaded = true;
    }
    EventLog.info(
        Event.CONFIGURATION_IN_FORCE, "version", next.version(), "change", offered.changeId());
    listeners.forEach(listener -> listener.accept(next));
  }

  private Map<String, ConfigurationPage> readPages(
      ConfigurationHead offered, Map<String, String> texts) {
    Map<String, ConfigurationPage> known;
    synchronized (this) {
      known = readPages;
    }
    Map<String, ConfigurationPage> next = new HashMap<>();
    for (String hash : offered.pages().values()) {
      checkArgument(texts.containsKey(hash), "page %s could not be had", hash);
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

  /** Returns the head in force, if any was read. */
  public synchronized Optional<ConfigurationHead> head() {
    return head;
  }
}
