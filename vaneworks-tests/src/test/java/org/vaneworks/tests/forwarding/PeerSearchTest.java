package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.net.ConnectException;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.ConnectionRefusedException;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.coordination.shared.PeerRelay;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Tests how an isolated node of a large fleet finds peers that take its requests. */
final class PeerSearchTest {
  private static final int PEERS = 100;
  private static final int PEERS_PER_DATA_CENTRE = 25;

  private final ForwardingFixture node = new ForwardingFixture();

  /** The peers of the node's own data centre come first. */
  private static Peer peer(int number) {
    HostPort address = new HostPort("10.9.0." + number, 7000);
    return new Peer(
        "n" + number,
        "dc" + (1 + number / PEERS_PER_DATA_CENTRE),
        address,
        Optional.of(new PeerRelay(address, "token-" + number)));
  }

  @BeforeEach
  void isolate() {
    node.peers =
        IntStream.range(0, PEERS)
            .mapToObj(PeerSearchTest::peer)
            .collect(ImmutableList.toImmutableList());
    for (int i = 1; i <= 4; i++) {
      node.engine(i, 0, 80);
    }
    node.fleet.all().forEach(endpoint -> node.control.refusing.add(endpoint.address()));
    node.request("/stream/");
    node.lastAttempt()
        .listener
        .failed(true, new ConnectionRefusedException(new ConnectException("refused")));
    node.advance(100);
  }

  private SentAttempt lastToPeer() {
    return node.toPeers.get(node.toPeers.size() - 1);
  }

  private String dataCentreOf(SentAttempt attempt) {
    return attempt.attempt.endpoint().dataCentre();
  }

  private void decline(SentAttempt attempt, Reason reason) {
    attempt.listener.head(FakeResponseHead.refusedByPeer(Refusal.nothingSent(reason, "declined")));
  }

  private void serve(SentAttempt attempt) {
    attempt.head(200);
    attempt.event(1);
    attempt.end();
  }

  // Guards against a search that goes through all peers of a data centre that is cut off.
  @Test
  void declineMakesOtherDataCentresMorePromising() {
    assertEquals("dc1", dataCentreOf(lastToPeer()));
    decline(lastToPeer(), Reason.NODE_ISOLATED);
    assertNotEquals("dc1", dataCentreOf(lastToPeer()));
  }

  // Guards against requests that wait at peers of the same data centre, which are cut off as well
  // and
  // have not noticed.
  @Test
  void peerThatDoesNotRespondMakesOtherDataCentresMorePromising() {
    assertEquals("dc1", dataCentreOf(lastToPeer()));
    node.advance(50);
    node.request("/stream/");
    assertNotEquals("dc1", dataCentreOf(lastToPeer()));
  }

  @Test
  void laterRequestsGoToAPeerThatServed() {
    decline(lastToPeer(), Reason.NODE_ISOLATED);
    SentAttempt served = lastToPeer();
    serve(served);
    node.advance(5000);
    // The first one searches for a second peer.
    node.request("/stream/");
    decline(lastToPeer(), Reason.NODE_ISOLATED);
    assertEquals(served.attempt.endpoint(), lastToPeer().attempt.endpoint());
    node.request("/stream/");
    assertEquals(served.attempt.endpoint(), lastToPeer().attempt.endpoint());
  }

  // Guards against requests that circulate among all nodes while no node reaches an endpoint.
  @Test
  void searchPausesAfterManyDeclines() {
    for (int i = 0; i < 50 && !node.toPeers.isEmpty(); i++) {
      SentAttempt asked = lastToPeer();
      decline(asked, Reason.NODE_ISOLATED);
      if (lastToPeer() == asked) {
        break;
      }
    }
    int asked = node.toPeers.size();
    assertTrue(asked < PEERS, "asked " + asked);
    for (int i = 0; i < 20; i++) {
      node.request("/stream/");
    }
    node.advance(40);
    assertEquals(asked, node.toPeers.size());
  }

  // Guards against a node that avoids a peer for all requests since it refused one for its own
  // sake.
  @Test
  void refusalForTheSakeOfARequestDoesNotConcernOthers() {
    SentAttempt refused = lastToPeer();
    decline(refused, Reason.UNKNOWN_KEY);
    assertNotEquals(refused.attempt.endpoint(), lastToPeer().attempt.endpoint());
    decline(lastToPeer(), Reason.UNKNOWN_KEY);
    assertEquals("dc1", dataCentreOf(lastToPeer()));
  }
}
