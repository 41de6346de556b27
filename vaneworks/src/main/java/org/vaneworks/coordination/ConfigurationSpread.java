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
 * Takes newer configurations from peers, and gives them on.
 *
 * <p>A node that hears of a newer version on any message fetches head and missing pages from the
 * sender, at once, and tells a few others in turn. Thread-safe.
 */
final class ConfigurationSpread {
  private static final Duration FETCH_LIMIT = Duration.ofSeconds(2);
  private static final int PAGES_PER_MESSAGE = 32;

  private final Executor executor;
  private final ActiveConfiguration board;
  private final PeerLink link;

  @GuardedBy("this")
  private long fetching;

  ConfigurationSpread(Executor executor, ActiveConfiguration board, PeerLink link) {
    this.executor = checkNotNull(executor);
    this.board = checkNotNull(board);
    this.link = checkNotNull(link);
  }

  /** Fetches the configuration of a peer that has a newer one. */
  void fetch(Gossip newer) {
    synchronized (this) {
      if (fetching >= newer.version()) {
        return;
      }
      fetching = newer.version();
    }
    HostPort peer = newer.sender().address();
    Async.onDone(
        link.ask(peer, new AskHead(), FETCH_LIMIT).thenCompose(reply -> offer(reply, peer)),
        executor,
        (done, failure) -> fetched(failure));
  }

  private CompletableFuture<Void> offer(PeerMessage reply, HostPort peer) {
    if (reply instanceof Head head && !head.text().isEmpty()) {
      return board.offer(head.text(), hashes -> pagesOf(peer, hashes));
    }
    return CompletableFuture.completedFuture(null);
  }

  /** After a failure the next message that tells of the version starts a new try. */
  private void fetched(Throwable failure) {
    synchronized (this) {
      fetching = board.version();
    }
    if (failure != null) {
      EventLog.info(Event.PEER_FAILED, "asked", "configuration", "cause", failure.getMessage());
    }
  }

  private CompletableFuture<ImmutableMap<String, String>> pagesOf(
      HostPort peer, Set<String> hashes) {
    Iterator<List<String>> chunks = Iterables.partition(hashes, PAGES_PER_MESSAGE).iterator();
    return more(peer, chunks, new HashMap<>());
  }

  private CompletableFuture<ImmutableMap<String, String>> more(
      HostPort peer, Iterator<List<String>> chunks, Map<String, String> found) {
    if (!chunks.hasNext()) {
      return CompletableFuture.completedFuture(ImmutableMap.copyOf(found));
    }
    AskPages ask = new AskPages(ImmutableSet.copyOf(chunks.next()));
    return link.ask(peer, ask, FETCH_LIMIT)
        .thenCompose(
            reply -> {
              if (reply instanceof Pages pages) {
                found.putAll(pages.pages());
              }
              return more(peer, chunks, found);
            });
  }

  /** Serves a peer's question for head or pages. */
  PeerMessage serve(PeerMessage message) {
    return message instanceof AskPages ask
        ? new Pages(board.pages(ask.hashes()))
        : new Head(board.headText());
  }
}
