package org.vaneworks.coordination.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.endpoints.EndpointHint;
import org.vaneworks.coordination.membership.PeerMessage.Ack;
import org.vaneworks.coordination.membership.PeerMessage.Ping;
import org.vaneworks.coordination.membership.PeerMessage.PingFor;
import org.vaneworks.state.HostPort;

/**
 * Tracks the other nodes with a gossip-based failure detector.
 *
 * <p>In each period a node pings one other node, in shuffled round-robin order. A node that answers
 * neither directly nor through other nodes is suspected, and declared dead unless it refutes the
 * suspicion in time. Updates are piggybacked on these messages. Load and detection time do not
 * depend on the number of nodes. Membership serves efficiency only; correctness must not depend on
 * it. Thread-safe.
 */
public final class Membership {
  private static final Duration PROTOCOL_PERIOD = Duration.ofSeconds(1);
  private static final Duration PING_TIMEOUT = Duration.ofMillis(400);
  private static final Duration INDIRECT_PING_TIMEOUT = Duration.ofMillis(900);
  private static final Duration SUSPICION_TIMEOUT = Duration.ofSeconds(4);
  private static final int INDIRECT_PROBES = 2;
  private static final int MAX_UPDATES_PER_MESSAGE = 8;
  private static final int MAX_HINTS = 64;
  private static final int SENDS_PER_HINT = 12;
  private static final int GOSSIP_FANOUT = 3;

  /** A hint with the number of times that it is still to be sent. */
  private static final class Hint {
    private final EndpointHint hint;
    private int remainingSends = SENDS_PER_HINT;

    Hint(EndpointHint hint) {
      this.hint = hint;
    }
  }

  private final Executor executor;
  private final PeerLink link;
  private final MemberTable table;
  private final Random random;
  private final LongSupplier version;

  @GuardedBy("this")
  private final Deque<Member> round = new ArrayDeque<>();

  @GuardedBy("this")
  private final Deque<Hint> hints = new ArrayDeque<>();

  @GuardedBy("this")
  private Set<HostPort> seeds = new HashSet<>();

  private volatile Consumer<Gossip> onNewerVersion = gossip -> {};
  private volatile Consumer<EndpointHint> onLeaving = hint -> {};
  private volatile boolean stopped;

  private Membership(
      Executor executor, PeerLink link, MemberTable table, Random random, LongSupplier version) {
    this.executor = checkNotNull(executor);
    this.link = checkNotNull(link);
    this.table = checkNotNull(table);
    this.random = checkNotNull(random);
    this.version = checkNotNull(version);
  }

  /**
   * Returns a membership that has not been started.
   *
   * @param version the configuration version in force here
   */
  public static Membership create(
      Executor executor, PeerLink link, MemberTable table, Random random, LongSupplier version) {
    return new Membership(executor, link, table, random, version);
  }

  /** Sets the listener that receives the gossip of peers with a newer configuration version. */
  public void onNewerVersion(Consumer<Gossip> listener) {
    onNewerVersion = checkNotNull(listener);
  }

  /** Sets the listener for endpoints that are about to leave. */
  public void onLeaving(Consumer<EndpointHint> listener) {
    onLeaving = checkNotNull(listener);
  }

  /** Starts to ping other nodes. */
  public void start() {
    executor.execute(this::runPeriod);
  }

  /** Stops pinging other nodes. */
  public void stop() {
    stopped = true;
  }

  /** Sets the node addresses listed by the platform. */
  public synchronized void updateSeeds(Set<HostPort> addresses) {
    seeds = new HashSet<>(addresses);
  }

  private void runPeriod() {
    if (stopped) {
      return;
    }
    joinUnknownSeed();
    Optional<Member> next = nextInRound();
    next.ifPresent(this::probe);
    table.removeExpired();
    executor.schedule(this::runPeriod, PROTOCOL_PERIOD);
  }

  private void joinUnknownSeed() {
    List<HostPort> unknown = new ArrayList<>();
    synchronized (this) {
      seeds.stream().filter(seed -> !table.hasMemberAt(seed)).forEach(unknown::add);
    }
    if (!unknown.isEmpty()) {
      HostPort seed = unknown.get(random.nextInt(unknown.size()));
      send(seed, new Ping(gossip(), true));
    }
  }

  private synchronized Optional<Member> nextInRound() {
    if (round.isEmpty()) {
      List<Member> members = new ArrayList<>(table.present());
      Collections.shuffle(members, random);
      round.addAll(members);
    }
    while (!round.isEmpty()) {
      Optional<Member> member = table.find(round.poll().identity());
      if (member.isPresent() && member.get().isPresent()) {
        return member;
      }
    }
    return Optional.empty();
  }

  private void probe(Member member) {
    Async.onDone(
        link.ask(member.address(), new Ping(gossip(), false), PING_TIMEOUT),
        executor,
        (reply, failure) -> {
          if (failure != null || !handleAck(reply)) {
            probeIndirectly(member);
          }
        });
  }

  private boolean handleAck(PeerMessage reply) {
    if (reply instanceof Ack ack) {
      apply(ack.gossip());
      return true;
    }
    return false;
  }

  private void probeIndirectly(Member member) {
    List<Member> helpers = new ArrayList<>(table.present());
    helpers.removeIf(helper -> helper.identity().equals(member.identity()));
    Collections.shuffle(helpers, random);
    List<Member> selected = helpers.subList(0, Math.min(INDIRECT_PROBES, helpers.size()));
    if (selected.isEmpty()) {
      suspect(member);
      return;
    }
    AtomicInteger unanswered = new AtomicInteger();
    for (Member helper : selected) {
      Async.onDone(
          link.ask(
              helper.address(), new PingFor(member.address(), gossip()), INDIRECT_PING_TIMEOUT),
          executor,
          (reply, failure) -> {
            boolean answered = failure == null && handleAck(reply);
            if (!answered && unanswered.incrementAndGet() == selected.size()) {
              suspect(member);
            }
          });
    }
  }

  private void suspect(Member member) {
    table
        .suspect(member.identity())
        .ifPresent(
            suspected -> executor.schedule(() -> table.declareDead(suspected), SUSPICION_TIMEOUT));
  }

  /** Handles a membership message of a peer and returns the reply. */
  public CompletableFuture<PeerMessage> serve(PeerMessage message) {
    if (message instanceof Ping ping) {
      apply(ping.gossip());
      return CompletableFuture.completedFuture(new Ack(ping.joining() ? fullGossip() : gossip()));
    }
    PingFor pingFor = (PingFor) message;
    apply(pingFor.gossip());
    return link.ask(pingFor.target(), new Ping(gossip(), false), PING_TIMEOUT);
  }

  private void apply(Gossip gossip) {
    table.merge(gossip.sender());
    gossip.members().forEach(table::merge);
    gossip.leaving().forEach(this::handleHint);
    if (gossip.version() > version.getAsLong()) {
      onNewerVersion.accept(gossip);
    }
  }

  private void handleHint(EndpointHint hint) {
    if (addHint(hint)) {
      onLeaving.accept(hint);
    }
  }

  /** Gossips that an endpoint is about to leave. */
  public void announceLeaving(EndpointHint hint) {
    if (addHint(hint)) {
      gossipNow();
    }
  }

  private synchronized boolean addHint(EndpointHint hint) {
    if (hints.stream().anyMatch(known -> known.hint.equals(hint))) {
      return false;
    }
    hints.addFirst(new Hint(hint));
    while (hints.size() > MAX_HINTS) {
      hints.removeLast();
    }
    return true;
  }

  /** Sends the pending updates to a few members immediately, without waiting for the next ping. */
  public void gossipNow() {
    List<Member> members = new ArrayList<>(table.present());
    Collections.shuffle(members, random);
    members.stream()
        .limit(GOSSIP_FANOUT)
        .forEach(member -> send(member.address(), new Ping(gossip(), false)));
  }

  /** Announces that this node has left, and which node has taken over its records. */
  public void announceLeft(Optional<String> successor) {
    table.updateSelf(MemberStatus.LEFT, successor);
    gossipNow();
  }

  private void send(HostPort address, PeerMessage message) {
    Async.onDone(
        link.ask(address, message, PING_TIMEOUT),
        executor,
        (reply, failure) -> {
          if (failure == null) {
            boolean unused = handleAck(reply);
          }
        });
  }

  private Gossip gossip() {
    return new Gossip(
        table.self(), version.getAsLong(), table.nextUpdates(MAX_UPDATES_PER_MESSAGE), nextHints());
  }

  private Gossip fullGossip() {
    return new Gossip(table.self(), version.getAsLong(), table.others(), nextHints());
  }

  private synchronized ImmutableList<EndpointHint> nextHints() {
    ImmutableList.Builder<EndpointHint> next = ImmutableList.builder();
    hints.stream()
        .filter(hint -> hint.remainingSends > 0)
        .limit(MAX_UPDATES_PER_MESSAGE)
        .forEach(
            hint -> {
              hint.remainingSends--;
              next.add(hint.hint);
            });
    return next.build();
  }

  /** Returns the table of members. */
  public MemberTable table() {
    return table;
  }
}
