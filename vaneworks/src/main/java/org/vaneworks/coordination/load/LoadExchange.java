package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.HostPort;

/**
 * Tells the peers in turn what this node's requests take of the endpoints, and keeps what they
 * tell.
 *
 * <p>A node uses mostly the engines of its own data centre, so its own requests say little of what
 * others take. On played days with losses of engines this serves 0.02 to 0.04 more of what callers'
 * requests are worth (means of three and eight days, with and without it). The price is bounded for
 * a node: one report at a time at a fixed pace, whatever the number of peers. With more peers each
 * is heard more seldom, but the sum over many nodes changes the less. Confined to the node's event
 * loop.
 */
public final class LoadExchange {
  /**
   * Between two reports, each to the next peer: 25 reports of about 250 bytes a second. In a fleet
   * of six nodes each hears of each other one every 200 ms, a part of the second that a stream
   * lasts at least.
   */
  private static final Duration PAUSE = Duration.ofMillis(40);

  /** A peer that was not heard for this many rounds is gone or can't reach this node. */
  private static final int ROUNDS_TO_EXPIRY = 4;

  /** The same at least: several reports in a row may be lost with a packet burst. */
  private static final Duration SHORTEST_EXPIRY = Duration.ofMillis(1500);

  /** What a peer told last. */
  private record Heard(ImmutableList<EndpointLoad> loads, long at) {}

  private final Executor clock;
  private final Fleet fleet;
  private final String node;
  private final Supplier<ImmutableList<HostPort>> peers;
  private final IntSupplier liveNodes;
  private final LoadSender sender;
  private final Map<String, Heard> heard = new HashMap<>();
  private int next;
  private boolean stopped;

  private LoadExchange(
      Executor clock,
      Fleet fleet,
      String node,
      Supplier<ImmutableList<HostPort>> peers,
      IntSupplier liveNodes,
      LoadSender sender) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.node = checkNotNull(node);
    this.peers = checkNotNull(peers);
    this.liveNodes = checkNotNull(liveNodes);
    this.sender = checkNotNull(sender);
  }

  /**
   * Returns an exchange that sends nothing before {@link #start}.
   *
   * @param node this box's name
   * @param peers addresses of the other live nodes, in the same order on each call unless they
   *     change
   * @param liveNodes number of live nodes, this one included
   */
  public static LoadExchange create(
      Executor clock,
      Fleet fleet,
      String node,
      Supplier<ImmutableList<HostPort>> peers,
      IntSupplier liveNodes,
      LoadSender sender) {
    return new LoadExchange(clock, fleet, node, peers, liveNodes, sender);
  }

  /** Begins to tell the peers. */
  public void start() {
    tellLater();
  }

  /** Tells nothing more; peers forget this node's load after a while. */
  public void stop() {
    stopped = true;
  }

  private void tellLater() {
    clock.schedule(this::tell, PAUSE.toNanos(), NANOSECONDS);
  }

  private void tell() {
    if (stopped) {
      return;
    }
    tellLater();
    ImmutableList<HostPort> all = peers.get();
    expire(all.size());
    noteWithEndpoints();
    if (!all.isEmpty()) {
      next = (next + 1) % all.size();
      sender.send(all.get(next), report());
    }
  }

  private LoadReport report() {
    ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
    for (TrackedEndpoint endpoint : fleet.all()) {
      if (endpoint.inFlight() > 0) {
        long tokenLayers = Math.max(0, Math.round(endpoint.reservedTokenLayers()));
        int key = EndpointLoad.keyOf(endpoint.endpoint().id());
        loads.add(new EndpointLoad(key, endpoint.inFlight(), tokenLayers));
      }
    }
    return new LoadReport(node, loads.build());
  }

  /** Takes a peer's report. */
  public void heard(LoadReport report) {
    if (report.sender().equals(node)) {
      return;
    }
    heard.put(report.sender(), new Heard(report.loads(), now()));
  }

  private void expire(int peerCount) {
    long round = PAUSE.toNanos() * Math.max(1, peerCount);
    long limit = Math.max(SHORTEST_EXPIRY.toNanos(), ROUNDS_TO_EXPIRY * round);
    heard.values().removeIf(peer -> now() - peer.at() > limit);
  }

  private void noteWithEndpoints() {
    Map<Integer, Sum> sums = new HashMap<>();
    for (Heard peer : heard.values()) {
      for (EndpointLoad load : peer.loads()) {
        sums.merge(load.endpointKey(), Sum.of(load), Sum::plus);
      }
    }
    double factor = unheardFactor();
    for (TrackedEndpoint endpoint : fleet.all()) {
      Sum sum = sums.getOrDefault(EndpointLoad.keyOf(endpoint.endpoint().id()), Sum.NONE);
      endpoint.peersLoad(sum.requests(), sum.tokenLayers(), factor);
    }
  }

  private record Sum(int requests, long tokenLayers) {
    static final Sum NONE = new Sum(0, 0);

    static Sum of(EndpointLoad load) {
      return new Sum(load.requests(), load.tokenLayers());
    }

    Sum plus(Sum other) {
      return new Sum(requests + other.requests, tokenLayers + other.tokenLayers);
    }
  }

  /**
   * Returns the number of live nodes by that of nodes whose load is known: those that were not
   * heard are taken to be like the others.
   */
  private double unheardFactor() {
    return Math.max(1, liveNodes.getAsInt() / (1.0 + heard.size()));
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
