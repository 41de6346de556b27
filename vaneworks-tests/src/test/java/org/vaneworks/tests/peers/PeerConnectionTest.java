package org.vaneworks.tests.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.membership.PeerMessage;
import org.vaneworks.coordination.once.OnceOutcome;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.transport.PeerClient;
import org.vaneworks.transport.PeerServer;

/** Tests that one exchange between two nodes does not end the others on their connection. */
final class PeerConnectionTest {
  /** Only bounds a hang; no result depends on it. */
  private static final Duration HANG = Duration.ofSeconds(60);

  /** Exceeds the maximum size of a message between nodes. */
  private static final int LARGE_BYTES = 9 << 20;

  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final Executor executor = Executors.newFixedSizeExecutor(2);
  private final Counters counters = Counters.in(new SimpleMeterRegistry());
  private final CompletableFuture<PeerMessage> slowReply = new CompletableFuture<>();
  private final PeerServer server =
      PeerServer.listen(new HostPort("127.0.0.1", 0), loop, executor, counters, this::reply);
  private final PeerClient client = PeerClient.create(loop, executor, counters);

  @AfterEach
  void stop() throws Exception {
    server.close();
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
    executor.closeAsync().toFuture().get(HANG.toSeconds(), TimeUnit.SECONDS);
  }

  // Guards against a reply too large for one message that breaks the connection, so that all other
  // requests on it fail.
  @Test
  void replyThatIsTooLargeFailsAlone() throws Exception {
    CompletableFuture<PeerMessage> slow =
        client.ask(server.address(), new PeerMessage.AskHead(), HANG);
    CompletableFuture<PeerMessage> large =
        client.ask(server.address(), new PeerMessage.StillRunning(), HANG);

    assertInstanceOf(PeerMessage.Failed.class, large.get(HANG.toSeconds(), TimeUnit.SECONDS));
    slowReply.complete(new PeerMessage.Accepted());
    assertEquals(new PeerMessage.Accepted(), slow.get(HANG.toSeconds(), TimeUnit.SECONDS));
  }

  private CompletableFuture<PeerMessage> reply(PeerMessage request) {
    if (request instanceof PeerMessage.AskHead) {
      return slowReply;
    }
    ServiceReply reply = new ServiceReply(200, "text/plain", "x".repeat(LARGE_BYTES));
    return CompletableFuture.completedFuture(
        new PeerMessage.OnceReply(new OnceOutcome.Replied(reply)));
  }
}
