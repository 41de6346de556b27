package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.configuration.ActiveConfiguration;
import org.vaneworks.coordination.membership.Gossip;
import org.vaneworks.coordination.membership.PeerLink;
import org.vaneworks.coordination.membership.PeerMessage;
import org.vaneworks.coordination.membership.PeerMessage.AskHead;
import org.vaneworks.coordination.membership.PeerMessage.AskPages;
import org.vaneworks.coordination.membership.PeerMessage.Head;
import org.vaneworks.coordination.membership.PeerMessage.Pages;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Fetches newer configurations from peers, and serves this node's configuration to them.
 *
 * <p>Messages between peers carry the configuration version of the sender. A node that receives a
 * newer version immediately fetches the head and the missing pages from the sender, and then
 * notifies a few other peers. Thread-safe.
 */
final class ConfigurationReplicator {
  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);
  private static final int PAGES_PER_MESSAGE = 32;

  private final Executor executor;
  private final ActiveConfiguration configuration;
  private final PeerLink link;

  @GuardedBy("this")
  private long fetchingVersion;

  ConfigurationReplicator(Executor executor, ActiveConfiguration configuration, PeerLink link) {
    this.executor = checkNotNull(executor);
    this.configuration = checkNotNull(configuration);
    this.link = checkNotNull(link);
  }

  /** Fetches the configuration of a peer that announced a newer version. */
  void fetch(Gossip newer) {
    synchronized (this) {
      if (fetchingVersion >= newer.version()) {
        return;
      }
      fetchingVersion = newer.version();
    }
    HostPort peer = newer.sender().address();
    Async.onDone(
        link.ask(peer, new AskHead(), FETCH_TIMEOUT).thenCompose(reply -> offer(reply, peer)),
        executor,
        (done, failure) -> onFetched(failure));
  }

  private CompletableFuture<Void> offer(PeerMessage reply, HostPort peer) {
    if (reply instanceof Head head && !head.text().isEmpty()) {
      return configuration.offer(head.text(), hashes -> fetchPages(peer, hashes));
    }
    return CompletableFuture.completedFuture(null);
  }

  /** Ends a fetch; after a failure the next message with the newer version starts another. */
  private void onFetched(Throwable failure) {
    synchronized (this) {
      fetchingVersion = configuration.version();
    }
    if (failure != null) {
      EventLog.info(Event.PEER_FAILED, "asked", "configuration", "cause", failure.getMessage());
    }
  }

  private CompletableFuture<ImmutableMap<String, String>> fetchPages(
      HostPort peer, Set<String> hashes) {
    Iterator<List<String>> remainingChunks =
        Iterables.partition(hashes, PAGES_PER_MESSAGE).iterator();
    return fetchChunks(peer, remainingChunks, new HashMap<>());
  }

  private CompletableFuture<ImmutableMap<String, String>> fetchChunks(
      HostPort peer, Iterator<List<String>> remainingChunks, Map<String, String> pagesByHash) {
    if (!remainingChunks.hasNext()) {
      return CompletableFuture.completedFuture(ImmutableMap.copyOf(pagesByHash));
    }
    AskPages ask = new AskPages(ImmutableSet.copyOf(remainingChunks.next()));
    return link.ask(peer, ask, FETCH_TIMEOUT)
        .thenCompose(
            reply -> {
              if (reply instanceof Pages pages) {
                pagesByHash.putAll(pages.pages());
              }
              return fetchChunks(peer, remainingChunks, pagesByHash);
            });
  }

  /** Answers a peer's request for the head or for pages. */
  PeerMessage serve(PeerMessage message) {
    return message instanceof AskPages ask
        ? new Pages(configuration.pages(ask.hashes()))
        : new Head(configuration.headText());
  }
}
