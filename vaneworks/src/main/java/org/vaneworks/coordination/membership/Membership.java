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
 * Keeps track of the other nodes.
 *
 * <p>Each period a node pings one other, in a shuffled round; one that doesn't answer, not even
 * through others, is suspected, and declared dead unless it refutes that in time. News travel on
 * these messages. Load and detection time stay the same however many nodes there are. Membership is
 * for efficiency; nothing's safety rests on it. Thread-safe.
 */
public final class Membership {
  private static final Duration PERIOD = Duration.ofSeconds(1);
  private static final Duration PING_LIMIT = Duration.ofMillis(400);
  private static final Duration INDIRECT_LIMIT = Duration.ofMillis(900);
  private static final Duration SUSPICION = Duration.ofSeconds(4);
  private static final int INDIRECT_PROBES = 2;
  private static final int NEWS_PER_MESSAGE = 8;
  private static final int HINTS_KEPT = 64;
  private static final int HINT_REPEATS = 12;
  private static final int RUMOUR_FAN_OUT = 3;

  private static final class Hint {
    private final EndpointHint hint;
    private int left = HINT_REPEATS;

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
   * Returns membership that is yet to be started.
   *
   * @param version the configuration version in force here
   */
  public static Membership create(
      Executor executor, PeerLink link, MemberTable table, Random random, LongSupplier version) {
    return new Membership(executor, link, table, random, version);
  }

  /** Sets who is told of a peer with a newer configuration. */
  public void onNewerVersion(Consumer<Gossip> listener) {
    onNewerVersion = checkNotNull(listener);
  }

  /** Sets who is told of an endpoint that leaves. */
  public void onLeaving(Consumer<EndpointHint> listener) {
    onLeaving = checkNotNull(listener);
  }

  /** Starts to ping. */
  public void start() {
    executor.execute(this::period);
  }

  /** Stops to ping. */
  public void stop() {
    stopped = true;
  }

  /** Takes the addresses at which the platform lists nodes. */
  public synchronized void seeds(Set<HostPort> addresses) {
    seeds = new HashSet<>(addresses);
  }

  private void period() {
    if (stopped) {
      return;
    }
    joinUnknownSeed();
    Optional<Member> next = nextInRound();
    next.ifPresent(this::probe);
    table.forgetOld();
    executor.schedule(this::period, PERIOD);
  }

  private void joinUnknownSeed() {
    List<HostPort> unknown = new ArrayList<>();
    synchronized (this) {
      seeds.stream().filter(seed -> !table.knows(seed)).forEach(unknown::add);
    }
    if (!unknown.isEmpty()) {
      HostPort seed = unknown.get(random.nextInt(unknown.size()));
      tell(seed, new Ping(gossip(), true));
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
        link.ask(member.address(), new Ping(gossip(), false), PING_LIMIT),
        executor,
        (reply, failure) -> {
          if (failure != null || !takeAck(reply)) {
            probeThroughOthers(member);
          }
        });
  }

  private boolean takeAck(PeerMessage reply) {
    if (reply instanceof Ack ack) {
      take(ack.gossip());
      return true;
    }
    return false;
  }

  private void probeThroughOthers(Member member) {
    List<Member> helpers = new ArrayList<>(table.present());
    helpers.removeIf(helper -> helper.identity().equals(member.identity()));
    Collections.shuffle(helpers, random);
    List<Member> asked = helpers.subList(0, Math.min(INDIRECT_PROBES, helpers.size()));
    if (asked.isEmpty()) {
      suspect(member);
      return;
    }
    AtomicInteger silent = new AtomicInteger();
    for (Member helper : asked) {
      Async.onDone(
          link.ask(helper.address(), new PingFor(member.address(), gossip()), INDIRECT_LIMIT),
          executor,
          (reply, failure) -> {
            boolean answered = failure == null && takeAck(reply);
            if (!answered && silent.incrementAndGet() == asked.size()) {
              suspect(member);
            }
          });
    }
  }

  private void suspect(Member member) {
    table
        .suspect(member.identity())
        .ifPresent(suspected -> executor.schedule(() -> table.declareDead(suspected), SUSPICION));
  }

  /** Serves a membership message of a peer. */
  public CompletableFuture<PeerMessage> serve(PeerMessage message) {
    if (message instanceof Ping ping) {
      take(ping.gossip());
      return CompletableFuture.completedFuture(new Ack(ping.joining() ? wholeList() : gossip()));
    }
    PingFor pingFor = (PingFor) message;
    take(pingFor.gossip());
    return link.ask(pingFor.target(), new Ping(gossip(), false), PING_LIMIT);
  }

  private void take(Gossip gossip) {
    table.merge(gossip.sender());
    gossip.members().forEach(table::merge);
    gossip.leaving().forEach(this::takeHint);
    if (gossip.version() > version.getAsLong()) {
      onNewerVersion.accept(gossip);
    }
  }

  private void takeHint(EndpointHint hint) {
    if (addHint(hint)) {
      onLeaving.accept(hint);
    }
  }

  /** Passes on that an endpoint leaves. */
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
    while (hints.size() > HINTS_KEPT) {
      hints.removeLast();
    }
    return true;
  }

  /** Tells a few members at once what is new here; they tell others in turn. */
  public void gossipNow() {
    List<Member> members = new ArrayList<>(table.present());
    Collections.shuffle(members, random);
    members.stream()
        .limit(RUMOUR_FAN_OUT)
        .forEach(member -> tell(member.address(), new Ping(gossip(), false)));
  }

  /** Tells that this node left, and who has its records. */
  public void announceLeft(Optional<String> successor) {
    table.selfIs(MemberStatus.LEFT, successor);
    gossipNow();
  }

  private void tell(HostPort address, PeerMessage message) {
    Async.onDone(
        link.ask(address, message, PING_LIMIT),
        executor,
        (reply, failure) -> {
          if (failure == null) {
            boolean unused = takeAck(reply);
          }
        });
  }

  private Gossip gossip() {
    return new Gossip(
        table.self(), version.getAsLong(), table.news(NEWS_PER_MESSAGE), hintsToTell());
  }

  private Gossip wholeList() {
    return new Gossip(table.self(), version.getAsLong(), table.others(), hintsToTell());
  }

  private synchronized ImmutableList<EndpointHint> hintsToTell() {
    ImmutableList.Builder<EndpointHint> told = ImmutableList.builder();
    hints.stream()
        .filter(hint -> hint.left > 0)
        .limit(NEWS_PER_MESSAGE)
        .forEach(
            hint -> {
              hint.left--;
              told.add(hint.hint);
            });
    return told.build();
  }

  /** Returns the members. */
  public MemberTable table() {
    return table;
  }
}
