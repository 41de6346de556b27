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
 * Simulates the links between nodes in the same process, with fault injection. Every message is
 * encoded and decoded with the product's codec.
 *
 * <p>Intended for a {@link PausedExecutor}; not thread-safe.
 */
public final class InMemoryPeers {
  private static final int MAX_DELAY_MICROS = 2000;

  /** One direction of the link between two nodes. */
  private record Direction(HostPort from, HostPort to) {}

  private final Executor executor;
  private final Random random;
  private final Map<HostPort, Node> nodes = new LinkedHashMap<>();
  private final Set<HostPort> killed = new HashSet<>();
  private final Set<HostPort> frozen = new HashSet<>();
  private final Set<Direction> blocked = new HashSet<>();
  private final Map<HostPort, Integer> repliesToLose = new LinkedHashMap<>();
  private final Map<HostPort, Runnable> queuedWhileFrozen = new LinkedHashMap<>();
  private long messages;
  private long bytes;

  private InMemoryPeers(Executor executor, Random random) {
    this.executor = executor;
    this.random = random;
  }

  /** Returns an instance without nodes. */
  public static InMemoryPeers create(Executor executor, Random random) {
    return new InMemoryPeers(executor, random);
  }

  /** Adds a node. */
  public void add(HostPort address, Node node) {
    nodes.put(address, node);
    killed.remove(address);
  }

  /** Returns the link on which the node at an address sends its requests. */
  public PeerLink linkFrom(HostPort from) {
    return (to, request, timeout) -> {
      PeerException unanswered = PeerException.unanswered(to + " did not reply in " + timeout);
      return Async.withTimeout(executor, timeout, send(from, to, request), unanswered);
    };
  }

  /** Kills a node: it sends and receives nothing more. */
  public void kill(HostPort address) {
    killed.add(address);
  }

  /** Freezes a node: incoming requests are queued, and it sends nothing. */
  public void freeze(HostPort address) {
    frozen.add(address);
  }

  /** Thaws a node, which then serves the queued requests. */
  public void thaw(HostPort address) {
    frozen.remove(address);
    Runnable queued = queuedWhileFrozen.remove(address);
    if (queued != null) {
      executor.execute(queued);
    }
  }

  /** Blocks the link from one node to another, but not the opposite direction. */
  public void blockLink(HostPort from, HostPort to) {
    blocked.add(new Direction(from, to));
  }

  /** Unblocks all links. */
  public void restoreLinks() {
    blocked.clear();
  }

  /** Drops the next replies of a node, after it has served the requests. */
  public void loseReplies(HostPort address, int count) {
    repliesToLose.put(address, count);
  }

  /** Returns the number of messages sent. */
  public long messages() {
    return messages;
  }

  /** Returns the total size of the messages sent, in bytes. */
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
          () -> reply.completeExceptionally(PeerException.notSent("connection refused")),
          randomDelay());
      return reply;
    }
    byte[] frame = recordSent(PeerCodec.encode(0, request));
    if (frame.length > PeerCodec.MAX_MESSAGE_BYTES) {
      // The receiver closes the connection.
      executor.schedule(
          () -> reply.completeExceptionally(PeerException.unanswered("the connection broke")),
          randomDelay());
      return reply;
    }
    if (!blocked.contains(new Direction(from, to))) {
      executor.schedule(() -> arrive(from, to, frame, reply), randomDelay());
    }
    return reply;
  }

  private void arrive(
      HostPort from, HostPort to, byte[] frame, CompletableFuture<PeerMessage> reply) {
    if (killed.contains(to)) {
      return;
    }
    if (frozen.contains(to)) {
      Runnable earlier = queuedWhileFrozen.getOrDefault(to, () -> {});
      queuedWhileFrozen.put(
          to,
          () -> {
            earlier.run();
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
    PeerMessage response = failure == null ? answer : new PeerMessage.Failed(failure.toString());
    byte[] frame = recordSent(PeerCodec.encode(0, response));
    int toLose = repliesToLose.getOrDefault(to, 0);
    if (toLose > 0 && !(response instanceof PeerMessage.Ack)) {
      repliesToLose.put(to, toLose - 1);
      return;
    }
    boolean lost =
        killed.contains(to) || frozen.contains(to) || blocked.contains(new Direction(to, from));
    if (!lost) {
      executor.schedule(() -> reply.complete(PeerCodec.decode(frame).message()), randomDelay());
    }
  }

  private byte[] recordSent(byte[] frame) {
    messages++;
    bytes += frame.length;
    return frame;
  }

  private Duration randomDelay() {
    return Duration.ofNanos(1000L * (100 + random.nextInt(MAX_DELAY_MICROS)));
  }
}
