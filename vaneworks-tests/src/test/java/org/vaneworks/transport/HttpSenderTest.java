package org.vaneworks.transport;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpServer;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.HostPort;

/**
 * Checks that a call reaches its server as soon as there is one.
 *
 * <p>The incident behind it. Seen: nodes that had been cut off from the platform's store for ten
 * seconds saw it again 2 to 10 s after the way was open. How it came about: each of their calls
 * failed without a packet. Cause: after five failed connections the library's load balancer gives
 * its only address no more calls, and tries it again by a timer of its own, 5 s and up to 3 s more.
 * Proof: the last failure before the view came back was "failed to pick an active host".
 */
final class HttpSenderTest {
  /** Beyond the failed connections after which the library's default gives an address up. */
  private static final int FAILED_CALLS = 12;

  /** Generous: nothing is measured, a call on loopback is answered in a few ms. */
  private static final Duration LIMIT = Duration.ofSeconds(20);

  private final Executor executor = Executors.newCachedThreadExecutor();
  private final HttpSender sender = HttpSender.create(executor);

  @AfterEach
  void close() {
    sender.close();
    executor.closeAsync().subscribe();
  }

  @Test
  void firstCallAfterManyFailedConnectionsReachesTheServer() throws Exception {
    InetSocketAddress address;
    try (Socket reserved = new Socket()) {
      // Bound but not listening: connections are refused and nobody else gets the port.
      reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      address = (InetSocketAddress) reserved.getLocalSocketAddress();
      for (int i = 0; i < FAILED_CALLS; i++) {
        assertThrows(ExecutionException.class, () -> sender.get(at(address), "/", LIMIT).get());
      }
    }
    HttpServer server = HttpServer.create(address, 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(200, 2);
          exchange.getResponseBody().write("ok".getBytes(UTF_8));
          exchange.close();
        });
    server.start();
    try {
      assertEquals("ok", sender.get(at(address), "/", LIMIT).get().body());
    } finally {
      server.stop(0);
    }
  }

  private static HostPort at(InetSocketAddress address) {
    return new HostPort(address.getHostString(), address.getPort());
  }
}
