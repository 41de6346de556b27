package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.net.ConnectException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.ConnectionRefusedException;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.coordination.shared.PeerRelay;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;
import org.vaneworks.tests.forwarding.ForwardingFixture.TestRequest;

/** Tests how long requests wait for room at two nodes, the second of which got them by a hop. */
final class PeerWaitTest {
  private static final HostPort PEER_ADDRESS = new HostPort("10.9.0.1", 7000);

  /** The node that has the caller's connection. */
  private final ForwardingFixture node = new ForwardingFixture();

  /** The node to which it forwards. */
  private final ForwardingFixture peer = new ForwardingFixture();

  private final RecordedResponse atPeer = new RecordedResponse();

  @BeforeEach
  void registerEndpoints() {
    node.peers =
        ImmutableList.of(
            new Peer(
                "near", "dc1", PEER_ADDRESS, Optional.of(new PeerRelay(PEER_ADDRESS, "token"))));
    for (ForwardingFixture each : ImmutableList.of(node, peer)) {
      for (int i = 0; i < 4; i++) {
        each.engine(i + 1, i / 2 * 40, i / 2 * 40 + 40);
        each.replica(i + 1);
      }
    }
    setFull(peer, true);
  }

  private static void setFull(ForwardingFixture fixture, boolean full) {
    enginesOrReplicas(fixture, ForwardingFixture.MODEL)
        .forEach(engine -> engine.setPeerLoad(full ? 100 : 0, full ? 1e9 : 0, 1));
  }

  /** Lets all replicas back off for 350 ms. */
  private static void backOff(ForwardingFixture fixture) {
    long until = fixture.now() + Duration.ofMillis(350).toNanos();
    enginesOrReplicas(fixture, ForwardingFixture.PLAIN)
        .forEach(replica -> replica.avoidUntil(until));
  }

  private static Stream<TrackedEndpoint> enginesOrReplicas(
      ForwardingFixture fixture, String service) {
    return fixture.fleet.all().stream().filter(any -> any.endpoint().service().equals(service));
  }

  private static ConnectionRefusedException refused() {
    return new ConnectionRefusedException(new ConnectException("Connection refused"));
  }

  /**
   * Cuts the node off from all endpoints, which it learns by another request, until it forwards the
   * one with the given path.
   */
  private void isolateUntilHopOf(String path, String other) {
    node.fleet.all().forEach(any -> node.control.refusing.add(any.address()));
    node.request(other);
    node.lastAttempt().listener.failed(true, refused());
    for (int waited = 0; waited < 200 && hopOf(path).isEmpty(); waited += 10) {
      node.advance(10);
    }
  }

  /** Passes the hop of the request with this path on to the peer. */
  private void hop(String path) {
    TestRequest request =
        new TestRequest(
            "hop",
            "host.example",
            path,
            Optional.of(ForwardingFixture.KEY),
            hopOf(path).orElseThrow().attempt.remaining());
    peer.forwarder.forwardForPeer(
        request, atPeer, hopOf(path).orElseThrow().attempt.hop().orElseThrow());
  }

  private Optional<SentAttempt> hopOf(String path) {
    return node.toPeers.stream()
        .filter(sent -> sent.attempt.request().path().equals(path))
        .findFirst();
  }

  /** Asserts that the peer refuses the request this long after its caller began to wait. */
  private void assertRefusedAt(long waitingSince, int millis) {
    Duration atNode = Duration.ofNanos(node.now() - waitingSince);
    peer.advance(millis - (int) atNode.toMillis() - 20);
    assertEquals(Optional.empty(), atPeer.refusal);
    peer.advance(50);
    assertEquals(Reason.NO_ENDPOINT, atPeer.refusal.orElseThrow().reason());
    assertTrue(peer.sent.isEmpty());
  }

  // Guards against callers that get 503 after they have left, as the wait for room of a stream
  // starts afresh at the peer that it is forwarded to.
  @Test
  void waitAtPeerEndsBeforeCallerOfWaitingStreamLeaves() {
    setFull(node, true);
    long requestedAt = node.now();
    node.request("/stream/x");
    node.advance(1000);
    isolateUntilHopOf("/stream/x", "/unsafe/");
    hop("/stream/x");
    assertRefusedAt(requestedAt, 1900);
  }

  // Guards against an interrupted stream that waits afresh at the peer that it is forwarded to,
  // although its caller has already waited for the next event.
  @Test
  void waitAtPeerEndsBeforeCallerOfInterruptedStreamLeaves() {
    node.request("/stream/x");
    node.advance(3000);
    SentAttempt first = node.lastAttempt();
    first.head(200);
    first.event(1);
    long lastEventAt = node.now();
    setFull(node, true);
    first.listener.failed(false, new ClosedChannelException());
    node.advance(900);
    isolateUntilHopOf("/stream/x", "/unsafe/");
    hop("/stream/x");
    assertTrue(node.toPeers.get(0).attempt.hop().orElseThrow().continues());
    assertRefusedAt(lastEventAt, 1500);
  }

  // Guards against a forwarded stream that is late, and is served before one that can still be on
  // time.
  @Test
  void lateStreamOfPeerIsServedAfterOneThatIsOnTime() {
    setFull(node, true);
    node.request("/stream/late");
    node.advance(1000);
    isolateUntilHopOf("/stream/late", "/unsafe/");
    hop("/stream/late");
    peer.request("/stream/on-time");
    peer.advance(40);
    setFull(peer, false);
    peer.advance(40);
    assertEquals(
        ImmutableList.of("/stream/on-time", "/stream/late"),
        peer.sent.stream()
            .map(sent -> sent.attempt.request().path())
            .collect(ImmutableList.toImmutableList()));
  }

  // Guards against a deadline that is shortened twice: a hop carries the time that is left, and the
  // time that has passed.
  @Test
  void deadlineOfPlainRequestAtPeerIsThatOfItsCaller() {
    backOff(node);
    node.request("/safe/x");
    node.advance(300);
    isolateUntilHopOf("/safe/x", "/stream/other");
    backOff(peer);
    hop("/safe/x");
    assertEquals(Optional.empty(), atPeer.refusal);
    peer.advance(400);
    assertEquals(1, peer.sent.size());
  }

  // Guards against a stream that is refused for its wait although the peer has room for it.
  @Test
  void streamThatHasWaitedStartsAtPeerThatHasRoom() {
    setFull(node, true);
    node.request("/stream/x");
    node.advance(1700);
    isolateUntilHopOf("/stream/x", "/unsafe/");
    setFull(peer, false);
    hop("/stream/x");
    assertEquals(1, peer.sent.size());
    assertTrue(
        peer.lastAttempt().attempt.remaining().compareTo(Duration.ofMillis(18_100)) > 0,
        "the deadline is that of the caller");
  }
}
