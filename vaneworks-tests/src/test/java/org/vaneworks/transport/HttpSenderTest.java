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
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.HostPort;

/**
 * Tests that a call reaches its server as soon as the server accepts connections.
 *
 * <p>Guards against ServiceTalk's load balancer ejecting a client's only address: after five failed
 * connection attempts it fails calls with "failed to pick an active host", without sending a
 * packet, and probes the address only after 5 to 8 s. Nodes that had been cut off from the
 * platform's store for 10 s therefore reached it only 2 to 10 s after the network had recovered.
 */
final class HttpSenderTest {
  /** More than the failed connections after which ServiceTalk ejects an address by default. */
  private static final int FAILED_CALLS = 12;

  private static final int CALLS_DURING_CLOSES = 1000;

  /** Only bounds a failing test; a call on loopback takes a few ms. */
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final Executor executor = Executors.newCachedThreadExecutor();
  private final HttpSender sender = HttpSender.create(executor);

  @AfterEach
  void close() {
    sender.close();
    executor.closeAsync().subscribe();
  }

  @Test
  void firstCallAfterManyFailedConnectionsReachesServer() throws Exception {
    InetSocketAddress address;
    try (Socket reserved = new Socket()) {
      // Bound but not listening: connections are refused, and no other process gets the port.
      reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      address = (InetSocketAddress) reserved.getLocalSocketAddress();
      for (int i = 0; i < FAILED_CALLS; i++) {
        assertThrows(
            ExecutionException.class, () -> sender.get(hostPort(address), "/", TIMEOUT).get());
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
      assertEquals("ok", sender.get(hostPort(address), "/", TIMEOUT).get().body());
    } finally {
      server.stop(0);
    }
  }

  // Guards against a call that fails because its address is closed while it is being sent.
  @Test
  void callsSucceedWhileConnectionsAreClosed() throws Exception {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(200, 2);
          exchange.getResponseBody().write("ok".getBytes(UTF_8));
          exchange.close();
        });
    server.start();
    HostPort address = hostPort(server.getAddress());
    AtomicBoolean done = new AtomicBoolean();
    Thread closer =
        new Thread(
            () -> {
              while (!done.get()) {
                sender.closeConnections(address);
              }
            });
    closer.start();
    try {
      for (int i = 0; i < CALLS_DURING_CLOSES; i++) {
        assertEquals("ok", sender.get(address, "/", TIMEOUT).get().body());
      }
    } finally {
      done.set(true);
      closer.join();
      server.stop(0);
    }
  }

  private static HostPort hostPort(InetSocketAddress address) {
    return new HostPort(address.getHostString(), address.getPort());
  }
}
