package org.vaneworks.testlib;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.membership.PeerException;
import org.vaneworks.coordination.membership.PeerLink;
import org.vaneworks.coordination.membership.PeerMessage;
import org.vaneworks.protocol.PeerCodec;
import org.vaneworks.state.HostPort;

/**
 * Links between nodes of one process, with faults; every message goes through the real codec.
 *
 * <p>Meant for a {@link PausedExecutor}, so not thread-safe.
 */
public final class InMemoryPeers {
  private static final int MAX_DELAY_MICROS = 2000;

  /** A one-way link. */
  private record Way(HostPort from, HostPort to) {}

  private final Executor executor;
  private final Random random;
  private final Map<HostPort, Node> nodes = new LinkedHashMap<>();
  private final Set<HostPort> killed = new HashSet<>();
  private final Set<HostPort> frozen = new HashSet<>();
  private final Set<Way> cut = new HashSet<>();
  private final Map<HostPort, Integer> repliesToLose = new LinkedHashMap<>();
  private final Map<HostPort, Runnable> held = new LinkedHashMap<>();
  private long messages;
  private long bytes;

  private InMemoryPeers(Executor executor, Random random) {
    this.executor = executor;
    this.random = random;
  }

  /** Returns links between no nodes. */
  public static InMemoryPeers create(Executor executor, Random random) {
    return new InMemoryPeers(executor, random);
  }

  /** Adds a node. */
  public void add(HostPort address, Node node) {
    nodes.put(address, node);
    killed.remove(address);
  }

  /** Returns the link that a node at an address sends on. */
  public PeerLink linkFrom(HostPort from) {
    return (to, request, limit) -> {
      PeerException late = PeerException.unanswered(to + " did not reply in " + limit);
      return Async.withTimeout(executor, limit, send(from, to, request), late);
    };
  }

  /** Kills a node: nothing gets in or out. */
  public void kill(HostPort address) {
    killed.add(address);
  }

  /** Freezes a node: what arrives waits, and it sends nothing. */
  public void freeze(HostPort address) {
    frozen.add(address);
  }

  /** Thaws a node: it works off what arrived. */
  public void thaw(HostPort address) {
    frozen.remove(address);
    Runnable waiting = held.remove(address);
    if (waiting != null) {
      executor.execute(waiting);
    }
  }

  /** Cuts the way from one node to another, and not the way back. */
  public void cut(HostPort from, HostPort to) {
    cut.add(new Way(from, to));
  }

  /** Mends every cut. */
  public void mend() {
    cut.clear();
  }

  /** Loses the next replies that a node gives, after it did what was asked. */
  public void loseReplies(HostPort address, int count) {
    repliesToLose.put(address, count);
  }

  /** Returns how many messages were sent. */
  public long messages() {
    return messages;
  }

  /** Returns how many bytes the messages had. */
  public long bytes() {
    return bytes;
  }

  private CompletableFuture<PeerMessage> send(HostPort from, HostPort to, PeerMessage request) {
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    if (killed.contains(from) || frozen.contains(from)) {
      return reply;
    }
    if (killed.contains(to) || !nodes.containsKey(to)) {
      executor.schedule(
          () -> reply.completeExceptionally(PeerException.notSent("connection refused")), delay());
      return reply;
    }
    byte[] frame = count(PeerCodec.encode(0, request));
    if (!cut.contains(new Way(from, to))) {
      executor.schedule(() -> arrive(from, to, frame, reply), delay());
    }
    return reply;
  }

  private void arrive(
      HostPort from, HostPort to, byte[] frame, CompletableFuture<PeerMessage> reply) {
    if (killed.contains(to)) {
      return;
    }
    if (frozen.contains(to)) {
      Runnable before = held.getOrDefault(to, () -> {});
      held.put(
          to,
          () -> {
            before.run();
            arrive(from, to, frame, reply);
          });
      return;
    }
    Async.onDone(
        nodes.get(to).serve(PeerCodec.decode(frame).message()),
        executor,
        (answer, failure) -> depart(from, to, answer, failure, reply));
  }

  private void depart(
      HostPort from,
      HostPort to,
      PeerMessage answer,
      Throwable failure,
      CompletableFuture<PeerMessage> reply) {
    PeerMessage said = failure == null ? answer : new PeerMessage.Failed(failure.toString());
    byte[] frame = count(PeerCodec.encode(0, said));
    int toLose = repliesToLose.getOrDefault(to, 0);
    if (toLose > 0 && !(said instanceof PeerMessage.Ack)) {
      repliesToLose.put(to, toLose - 1);
      return;
    }
    boolean lost = killed.contains(to) || frozen.contains(to) || cut.contains(new Way(to, from));
    if (!lost) {
      executor.schedule(() -> reply.complete(PeerCodec.decode(frame).message()), delay());
    }
  }

  private byte[] count(byte[] frame) {
    messages++;
    bytes += frame.length;
    return frame;
  }

  private Duration delay() {
    return Duration.ofNanos(1000L * (100 + random.nextInt(MAX_DELAY_MICROS)));
  }
}
