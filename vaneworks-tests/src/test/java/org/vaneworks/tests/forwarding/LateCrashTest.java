package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.state.Reason;

/** Checks requests whose endpoints are known to have crashed only after they ran elsewhere. */
final class LateCrashTest {
  private static final int LOST = 3;

  private final ForwardingFixture node = new ForwardingFixture();
  private final List<FleetEndpoint> lost = new ArrayList<>();

  /** Sends the request to an endpoint whose connection breaks, which is not used again. */
  private void requestAndBreak(FleetEndpoint endpoint, String path) {
    node.request(path);
    node.lastAttempt().head(200);
    node.lastAttempt().listener.failed(false, new ClosedChannelException());
    node.fleet
        .find(endpoint.service(), endpoint.address())
        .orElseThrow()
        .avoidUntil(Long.MAX_VALUE);
    lost.add(endpoint);
  }

  private void removeLost() {
    lost.forEach(endpoint -> node.fleet.remove(endpoint.id()));
  }

  @Test
  void answerClearsLossesBeforeIt() {
    for (int number = 1; number <= LOST; number++) {
      requestAndBreak(node.replica(number), "/safe/x");
    }
    node.replica(LOST + 1);
    node.request("/safe/x");
    node.lastAttempt().head(200);
    node.lastAttempt().end();
    removeLost();
    assertEquals(Optional.empty(), node.request("/safe/x").refusal);
  }

  @Test
  void streamThatRanClearsLossesBeforeIt() {
    for (int number = 1; number <= LOST; number++) {
      requestAndBreak(node.engine(number, 0, 80), "/once/x");
    }
    node.engine(LOST + 1, 0, 80);
    node.request("/once/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.advance(1100);
    node.lastAttempt().event(2);
    removeLost();
    assertEquals(Optional.empty(), node.request("/once/x").refusal);
  }

  @Test
  void lossesAfterAnswerCount() {
    node.replica(LOST + 1);
    node.request("/safe/x");
    node.lastAttempt().head(200);
    node.lastAttempt().end();
    node.fleet.remove("r" + (LOST + 1));
    for (int number = 1; number <= LOST; number++) {
      requestAndBreak(node.replica(number), "/safe/x");
    }
    removeLost();
    node.replica(LOST + 2);
    assertEquals(Reason.QUARANTINED, node.request("/safe/x").refusal.orElseThrow().reason());
  }
}
