package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.net.ConnectException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.ConnectionRefusedException;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.coordination.forwarding.PeerHop;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.coordination.shared.PeerRelay;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;
import org.vaneworks.state.entry.ApiKeys;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Tests what a node does with requests while it is isolated from all endpoints. */
final class PeerForwardingTest {
  private static final Peer NEAR = peer("near", "dc1", 1);
  private static final Peer REMOTE = peer("remote", "dc2", 2);

  private final ForwardingFixture node = new ForwardingFixture();

  private static Peer peer(String box, String dataCentre, int number) {
    HostPort address = new HostPort("10.9.0." + number, 7000);
    return new Peer(
        box, dataCentre, address, Optional.of(new PeerRelay(address, "token-" + number)));
  }

  @BeforeEach
  void registerEndpoints() {
    node.peers = ImmutableList.of(NEAR, REMOTE);
    for (int i = 1; i <= 4; i++) {
      node.engine(i, 0, 80);
      node.replica(i);
    }
  }

  private ConnectionRefusedException refused() {
    return new ConnectionRefusedException(new ConnectException("Connection refused"));
  }

  /** Lets all endpoints refuse connections, and the node find that out by a request. */
  private RecordedResponse isolate(String path) {
    node.fleet.all().forEach(endpoint -> node.control.refusing.add(endpoint.address()));
    RecordedResponse response = node.request(path);
    node.lastAttempt().listener.failed(true, refused());
    node.advance(100);
    return response;
  }

  private SentAttempt lastToPeer() {
    return node.toPeers.get(node.toPeers.size() - 1);
  }

  private RecordedResponse forwardForPeer() {
    RecordedResponse response = new RecordedResponse();
    node.forwarder.forwardForPeer(
        node.callerRequest("/stream/"),
        response,
        new PeerHop("token", ForwardingFixture.MODEL, false, Duration.ZERO));
    return response;
  }

  // Guards against a revoked key that is accepted as the request comes from a peer, which may have
  // an older configuration.
  @Test
  void revokedKeyIsRefusedOnTheSecondNode() {
    node.configuration = Optional.of(ForwardingFixture.configuration(ApiKeys.of(Map.of())));
    assertEquals(Reason.UNKNOWN_KEY, forwardForPeer().refusal.get().reason());
    assertTrue(node.sent.isEmpty());
  }

  // Guards against a second node that accepts a key by a configuration which may be out of date.
  @Test
  void secondNodeNeedsAFreshConfiguration() {
    node.advance(4800);
    assertEquals(Reason.CONFIGURATION_STALE, forwardForPeer().refusal.get().reason());
    assertTrue(node.sent.isEmpty());
  }

  // Guards against a node that refuses what its peers could serve, because it reaches no endpoint.
  @Test
  void isolatedNodeForwardsToPeer() {
    RecordedResponse response = isolate("/stream/");
    assertEquals(1, node.toPeers.size());
    assertEquals(
        Optional.of(new PeerHop("token-1", ForwardingFixture.MODEL, false, Duration.ofMillis(20))),
        lastToPeer().attempt.hop());
    lastToPeer().head(200);
    lastToPeer().event(1);
    lastToPeer().end();
    assertTrue(response.whole);
  }

  @Test
  void nextRequestsGoToPeersWithoutAnAttemptAtAnEndpoint() {
    isolate("/stream/");
    int sentBefore = node.sent.size();
    node.request("/unsafe/");
    node.advance(20);
    assertEquals(sentBefore, node.sent.size());
    assertEquals(2, node.toPeers.size());
  }

  @Test
  void peerThatDeclinesIsReplacedWithoutRetryBudget() {
    node.forwarder.updateLimits(
        new ForwardingLimits(Duration.ofMillis(4750), 0, 1 / 0.6, Duration.ZERO));
    isolate("/unsafe/");
    lastToPeer()
        .listener
        .head(
            FakeResponseHead.refusedByPeer(Refusal.nothingSent(Reason.NODE_ISOLATED, "forwarded")));
    assertEquals(2, node.toPeers.size());
    assertEquals("remote", lastToPeer().attempt.endpoint().id());
  }

  // Guards against repeats beyond the retry budget: requests that endpoints of a peer had rejected
  // were sent again as if they had reached none, once the peer stopped.
  @Test
  void requestThatEndpointsOfAStoppingPeerRejectedNeedsRetryBudget() {
    ForwardingFixture peer = new ForwardingFixture();
    FleetEndpoint onlyReplica = peer.replica(1);
    RecordedResponse fromPeer = new RecordedResponse();
    peer.forwarder.forwardForPeer(
        peer.callerRequest("/unsafe/"),
        fromPeer,
        new PeerHop("", ForwardingFixture.PLAIN, false, Duration.ZERO));
    peer.lastAttempt().notRun(503, Optional.of(onlyReplica.address()));
    assertEquals(Optional.empty(), fromPeer.refusal, "it waits for room");
    peer.forwarder.endRequests();
    assertEquals(Reason.STOPPING, fromPeer.refusal.get().reason());

    node.forwarder.updateLimits(new ForwardingLimits(Duration.ofMillis(4750), 0, 0, Duration.ZERO));
    RecordedResponse response = isolate("/unsafe/");
    lastToPeer().listener.head(FakeResponseHead.refusedByPeer(fromPeer.refusal.get()));
    node.advance(100);
    assertEquals(1, node.toPeers.size());
    assertEquals(Verdict.NOT_RUN, response.refusal.get().verdict());
  }

  @Test
  void peerThatCannotBeReachedIsReplaced() {
    RecordedResponse response = isolate("/unsafe/");
    lastToPeer().listener.failed(true, refused());
    assertEquals(2, node.toPeers.size());
    assertEquals(Optional.empty(), response.refusal);
  }

  // Guards against a second run of a request that a peer may have run before it broke off.
  @Test
  void unrepeatableRequestIsNotSentAgainAfterPeerBreaksOff() {
    RecordedResponse response = isolate("/unsafe/");
    lastToPeer().listener.failed(false, new ClosedChannelException());
    node.advance(100);
    assertEquals(1, node.toPeers.size());
    assertEquals(Verdict.MAY_HAVE_RUN, response.refusal.get().verdict());
  }

  @Test
  void refusalForLackOfCapacityIsPassedOn() {
    RecordedResponse response = isolate("/stream/");
    Refusal refusal =
        Refusal.nothingSent(Reason.NO_ENDPOINT, "full").withRetryAfter(Duration.ofMillis(700));
    lastToPeer().listener.head(FakeResponseHead.refusedByPeer(refusal));
    assertEquals(1, node.toPeers.size());
    assertEquals(Reason.NO_ENDPOINT, response.refusal.get().reason());
    assertEquals(Verdict.NOT_RUN, response.refusal.get().verdict());
    assertEquals(Optional.of(Duration.ofMillis(700)), response.refusal.get().retryAfter());
  }

  @Test
  void interruptedStreamContinuesAtPeer() {
    RecordedResponse response = node.request("/stream/");
    SentAttempt first = node.lastAttempt();
    first.head(200);
    first.event(1);
    node.fleet.all().forEach(endpoint -> node.control.refusing.add(endpoint.address()));
    first.listener.failed(false, new ClosedChannelException());
    node.lastAttempt().listener.failed(true, refused());
    node.advance(100);
    assertEquals(Optional.of("1"), lastToPeer().attempt.resumeAfter());
    assertTrue(lastToPeer().attempt.hop().get().continues());
    lastToPeer().head(200);
    lastToPeer().event(2);
    lastToPeer().end();
    assertTrue(response.whole);
    assertEquals("id: 1\ndata: x\n\nid: 2\ndata: x\n\n", response.body);
  }

  @Test
  void streamOverConnectionThatLivesOnContinues() {
    RecordedResponse streaming = node.request("/stream/");
    SentAttempt living = node.lastAttempt();
    living.head(200);
    isolate("/unsafe/");
    for (int event = 1; event <= 10; event++) {
      living.event(event);
      node.advance(100);
    }
    living.end();
    assertTrue(streaming.whole);
    assertFalse(living.cancelled);
    assertEquals(1, node.toPeers.size(), "only the other request");
  }

  // Guards against requests that circulate between nodes that are all isolated.
  @Test
  void isolatedNodeDeclinesRequestsOfPeers() {
    isolate("/stream/");
    RecordedResponse response = new RecordedResponse();
    node.forwarder.forwardForPeer(
        node.callerRequest("/stream/"),
        response,
        new PeerHop("", ForwardingFixture.MODEL, false, Duration.ZERO));
    assertEquals(Reason.NODE_ISOLATED, response.refusal.get().reason());
    assertEquals(Verdict.NOT_RUN, response.refusal.get().verdict());
    assertEquals(1, node.toPeers.size());
  }

  // Guards against a node with few requests that takes those of peers, which are cut off, because
  // it
  // has not noticed that it is cut off as well.
  @Test
  void nodeFindsOutByRequestsOfPeersThatItIsIsolated() {
    node.fleet.all().forEach(endpoint -> node.control.refusing.add(endpoint.address()));
    PeerHop hop = new PeerHop("", ForwardingFixture.MODEL, false, Duration.ZERO);
    node.forwarder.forwardForPeer(node.callerRequest("/stream/"), new RecordedResponse(), hop);
    node.advance(200);
    RecordedResponse response = new RecordedResponse();
    node.forwarder.forwardForPeer(node.callerRequest("/stream/"), response, hop);
    assertEquals(Reason.NODE_ISOLATED, response.refusal.get().reason());
  }

  // Guards against a peer that repeats a run, which the node that forwarded the request counts.
  @Test
  void requestOfPeerRunsOnce() {
    RecordedResponse response = new RecordedResponse();
    node.forwarder.forwardForPeer(
        node.callerRequest("/stream/"),
        response,
        new PeerHop("", ForwardingFixture.MODEL, false, Duration.ZERO));
    node.lastAttempt().listener.failed(false, new ClosedChannelException());
    node.advance(200);
    assertEquals(1, node.sent.size());
    assertEquals(Verdict.MAY_HAVE_RUN, response.refusal.get().verdict());
  }

  // Guards against endpoints that count as crashed, or as down, because this node is cut off.
  @Test
  void endpointsAreNotBlamedForIsolation() {
    RecordedResponse streaming = node.request("/stream/");
    node.fleet.all().forEach(endpoint -> node.control.refusing.add(endpoint.address()));
    node.lastAttempt().listener.failed(false, new ClosedChannelException());
    node.advance(500);
    assertEquals(Optional.empty(), streaming.refusal);
    assertTrue(node.fleet.all().stream().noneMatch(endpoint -> endpoint.processDown()));
    node.control.refusing.clear();
    node.advance(1000);
    assertTrue(node.fleet.all().stream().noneMatch(endpoint -> endpoint.suspected()));
  }

  // Guards against attempts at endpoints that can't be reached, one after the other, if no peer can
  // help either.
  @Test
  void requestIsRefusedAtOnceIfNoNodeReachesAnEndpoint() {
    node.peers = ImmutableList.of();
    for (int i = 0; i < 4; i++) {
      isolate("/stream/");
    }
    node.advance(500);
    int sentBefore = node.sent.size();
    RecordedResponse response = node.request("/stream/");
    assertEquals(sentBefore, node.sent.size());
    assertEquals(Reason.NO_ENDPOINT, response.refusal.get().reason());
  }

  @Test
  void endpointsAreUsedAgainAfterIsolation() {
    isolate("/stream/");
    node.control.refusing.clear();
    node.advance(1000);
    int sentBefore = node.sent.size();
    node.request("/stream/");
    node.advance(20);
    assertEquals(sentBefore + 1, node.sent.size());
  }

  // Guards against a node that takes many silent endpoints for its own isolation.
  @Test
  void silentEndpointsThatAcceptConnectionsAreNoIsolation() {
    node.fleet.all().forEach(endpoint -> node.control.silent.add(endpoint.address()));
    for (int i = 0; i < 5; i++) {
      node.request("/stream/");
    }
    node.advance(1000);
    assertEquals(0, node.toPeers.size());
  }

  // Guards against a refusal by a node that lost only a part of the engines, but all that hold
  // some layers.
  @Test
  void requestGoesToPeerIfSuspectedEnginesLeaveNoPath() {
    ForwardingFixture partial = new ForwardingFixture();
    partial.peers = ImmutableList.of(NEAR);
    FleetEndpoint lost = partial.engine(1, 0, 40);
    partial.engine(2, 40, 80);
    partial.fleet.suspect(
        partial.fleet.find(ForwardingFixture.MODEL, lost.address()).get(), "silent");
    partial.request("/stream/");
    partial.advance(20);
    assertEquals(1, partial.toPeers.size());
  }

  // Guards against a refusal of a request that joins others in the queue, while a peer can serve
  // it.
  @Test
  void queuedRequestsGoToPeersIfSuspectedEnginesLeaveNoPath() {
    ForwardingFixture partial = new ForwardingFixture();
    partial.peers = ImmutableList.of(NEAR);
    FleetEndpoint lost = partial.engine(1, 0, 40);
    partial.engine(2, 40, 80);
    RecordedResponse first = partial.request("/stream/");
    partial.control.refusing.add(lost.address());
    partial.lastAttempt().listener.failed(true, refused());
    partial.advance(5);
    assertTrue(partial.fleet.find(ForwardingFixture.MODEL, lost.address()).get().suspected());
    RecordedResponse second = partial.request("/stream/");
    partial.advance(40);
    assertEquals(Optional.empty(), first.refusal);
    assertEquals(Optional.empty(), second.refusal);
    assertEquals(2, partial.toPeers.size());
  }

  // Guards against probes of an engine that increase with each isolation of the node.
  @Test
  void deadEngineIsProbedAsOftenAfterIsolationsAsBefore() {
    HostPort dead = new HostPort("10.0.0.1", 80);
    node.control.refusing.add(dead);
    node.fleet.suspect(node.fleet.find(ForwardingFixture.MODEL, dead).get(), "dead");
    node.advance(10_000);
    int before = probesDuring10Seconds(dead);
    for (int i = 0; i < 3; i++) {
      // Not during the check that follows a refused probe.
      node.advance(100);
      node.confirmedAt = node.now();
      isolate("/unsafe/");
      node.control.refusing.clear();
      node.control.refusing.add(dead);
      node.advance(3000);
    }
    node.advance(10_000);
    assertTrue(before > 0);
    assertEquals(before, probesDuring10Seconds(dead), 1);
  }

  private int probesDuring10Seconds(HostPort engine) {
    node.control.probed.clear();
    node.advance(10_000);
    return (int) node.control.probed.stream().filter(engine::equals).count();
  }
}
