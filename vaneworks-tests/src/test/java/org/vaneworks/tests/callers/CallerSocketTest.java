package org.vaneworks.tests.callers;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.http.api.HttpServerContext;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.Lifecycle.Phase;
import org.vaneworks.coordination.NodeLimits;
import org.vaneworks.coordination.StopTimes;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.coordination.configuration.ConfigurationChange;
import org.vaneworks.coordination.configuration.ConfigurationEditor;
import org.vaneworks.daemon.Daemon;
import org.vaneworks.daemon.DaemonSettings;
import org.vaneworks.protocol.ConfigurationJson;
import org.vaneworks.protocol.Json;
import org.vaneworks.protocol.ResourceJson;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;
import org.vaneworks.testlib.BoxListCore;
import org.vaneworks.testlib.EngineCore;
import org.vaneworks.testlib.EngineOptions;
import org.vaneworks.testlib.EngineServer;
import org.vaneworks.testlib.PlatformServer;
import org.vaneworks.testlib.ServiceCore;
import org.vaneworks.testlib.ServiceServer;
import org.vaneworks.testlib.StoreCore;

/** Tests over sockets that complete answers reach callers that read slowly. */
final class CallerSocketTest {
  /** Only bounds a hang; no result depends on it. */
  private static final int HANG_SECONDS = 60;

  private static final long POLL_MILLIS = 20;

  /** Longer than a node waits for its sockets after it has finished all requests. */
  private static final long CALLER_PAUSE_MILLIS = 4000;

  private static final Duration BALANCER_LAG = Duration.ofMillis(100);
  private static final Duration STOP_DEADLINE = Duration.ofSeconds(30);
  private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
  private static final int LAYERS = 12;
  private static final int THREADS = 4;
  private static final int MAX_BODY_BYTES = 1024;

  /** Exceeds the socket buffers between caller and node. */
  private static final int BODY_BYTES = 16 << 20;

  /** Small, so that the response is soon buffered in the node. */
  private static final int RECEIVE_BUFFER_BYTES = 4096;

  private static final String CONFIGURATION =
      "{kind: template, name: t, model: {name: model, layers: "
          + LAYERS
          + "}, services: [{name: records, calls: [{method: POST, pathPrefix: /confirm}]}],"
          + " limits: {maxInFlight: 100, maxQueue: 100, maxTokens: 1000},"
          + " bounds: {firstTokenMs: 60000, betweenTokensMs: 10000}}\n"
          + "---\n"
          + "{kind: workspace, name: ward, template: t}\n";

  private static final String SERVICE_CALL =
      "POST /v1/workspaces/ward/services/records/confirm HTTP/1.1\r\nHost: a.example\r\n"
          + "Content-Length: 2\r\n\r\n{}";

  private static final String READINESS = "GET /health/ready HTTP/1.1\r\nHost: a.example\r\n\r\n";

  private static final String CLOSING_READINESS =
      "GET /health/ready HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";

  private static final String COMPLETION_BODY =
      "{\"prompt\":\"a b c\",\"max_tokens\":200,\"stream\":true}";

  private static final String COMPLETION =
      "POST /v1/workspaces/ward/completions HTTP/1.1\r\nHost: a.example\r\n"
          + "Content-Type: application/json\r\nContent-Length: "
          + COMPLETION_BODY.length()
          + "\r\n\r\n"
          + COMPLETION_BODY;

  private static final long BODY_DELAY_MILLIS = 200;

  private static final String CLOSING_CALL_HEAD =
      "POST /v1/workspaces/ward/services/records/confirm HTTP/1.1\r\nHost: a.example\r\n"
          + "Connection: close\r\nContent-Length: 2\r\n\r\n";

  private static final String OVERSIZED_CALL =
      "POST /v1/workspaces/ward/services/records/confirm HTTP/1.1\r\nHost: a.example\r\n"
          + "Connection: close\r\nContent-Length: "
          + BODY_BYTES
          + "\r\n\r\n";

  private final Executor executor = Executors.newFixedSizeExecutor(THREADS);
  private final StoreCore store = StoreCore.create(executor);
  private final BoxListCore boxes = BoxListCore.create();
  private final ServiceCore service = ServiceCore.withBody("x".repeat(BODY_BYTES));
  private HttpServerContext platform;
  private HttpServerContext engine;
  private HttpServerContext serviceServer;
  private Daemon daemon;
  private CompletableFuture<Integer> stopping;

  @BeforeEach
  void start() throws Exception {
    platform = PlatformServer.listen(ANY_PORT, executor, store, boxes);
    engine =
        EngineServer.listen(
            ANY_PORT,
            executor,
            address ->
                EngineCore.create(
                    EngineOptions.of(
                        endpoint("e1", address, "model", Optional.of(LayerRange.of(0, LAYERS))),
                        LAYERS,
                        1),
                    executor));
    serviceServer =
        ServiceServer.listen(
            ANY_PORT,
            executor,
            service,
            address -> endpoint("s1", address, "records", Optional.empty()));
    list("e1", engine);
    list("s1", serviceServer);
    applyConfiguration();
    daemon =
        Daemon.start(
            new DaemonSettings(
                "n1",
                "dc1",
                ANY_PORT,
                ANY_PORT,
                addressOf(platform),
                THREADS,
                MAX_BODY_BYTES,
                NodeLimits.defaults().withStop(new StopTimes(BALANCER_LAG, STOP_DEADLINE))));
    while (daemon.node().phase() != Phase.READY || daemon.node().endpoints().all().size() < 2) {
      Thread.sleep(POLL_MILLIS);
    }
  }

  @AfterEach
  void stop() throws Exception {
    int unused = stopDaemon().get(HANG_SECONDS, TimeUnit.SECONDS);
    for (HttpServerContext server : ImmutableList.of(platform, engine, serviceServer)) {
      server.close();
    }
    executor.closeAsync().toFuture().get(HANG_SECONDS, TimeUnit.SECONDS);
  }

  // Guards against a planned stop that cuts a complete answer whose last bytes are still buffered
  // in the node for a caller that reads slowly.
  @Test
  void plannedStopDeliversAnswerToSlowCaller() throws Exception {
    try (Socket caller = connect()) {
      send(caller, SERVICE_CALL);
      awaitAnsweredByService();
      CompletableFuture<Integer> stopped = stopDaemon();
      awaitRefusing();
      Thread.sleep(CALLER_PAUSE_MILLIS);
      assertBodyIsComplete(new String(caller.getInputStream().readAllBytes(), ISO_8859_1));
      assertEquals(0, stopped.get(HANG_SECONDS, TimeUnit.SECONDS));
    }
  }

  // Guards against a connection reset that destroys the end of an answer: a stopping node closed
  // the connection while the caller's next request was unread.
  @Test
  void plannedStopDeliversAnswerToCallerThatSentItsNextRequest() throws Exception {
    try (Socket caller = connect()) {
      send(caller, SERVICE_CALL + READINESS.repeat(2000));
      awaitAnsweredByService();
      CompletableFuture<Integer> stopped = stopDaemon();
      awaitRefusing();
      Thread.sleep(CALLER_PAUSE_MILLIS);
      assertBodyIsComplete(readUntilClosed(caller.getInputStream()));
      assertEquals(0, stopped.get(HANG_SECONDS, TimeUnit.SECONDS));
    }
  }

  // Guards against cutting the answer to a caller that closed its side of the connection.
  @Test
  void halfClosedCallerReceivesItsAnswer() throws Exception {
    try (Socket caller = connect()) {
      send(caller, COMPLETION);
      caller.shutdownOutput();
      String response = readUntilClosed(caller.getInputStream());
      assertTrue(response.contains("data: [DONE]"), () -> tail(response));
    }
  }

  // Guards against failing a request that asks to close the connection before its body has arrived.
  @Test
  void callerThatAsksToCloseTheConnectionReceivesItsAnswer() throws Exception {
    try (Socket caller = connect()) {
      send(caller, CLOSING_CALL_HEAD);
      Thread.sleep(BODY_DELAY_MILLIS);
      send(caller, "{}");
      assertBodyIsComplete(readUntilClosed(caller.getInputStream()));
    }
  }

  // Guards against a connection reset that destroys a refusal: the rest of the body was unread.
  @Test
  void callerOfOversizedBodyReceivesItsRefusal() throws Exception {
    try (Socket caller = connect()) {
      send(caller, OVERSIZED_CALL);
      sendUntilClosed(caller, "y".repeat(BODY_BYTES));
      String response = readUntilClosed(caller.getInputStream());
      assertTrue(response.startsWith("HTTP/1.1 413 "), () -> tail(response));
      assertTrue(response.contains("body-too-large"), () -> tail(response));
    }
  }

  // Guards against cutting the answer to a caller that reads slowly while its connection is open.
  @Test
  void slowCallerReceivesItsAnswerAndThenTheNext() throws Exception {
    try (Socket caller = connect()) {
      send(caller, SERVICE_CALL + CLOSING_READINESS);
      awaitAnsweredByService();
      Thread.sleep(CALLER_PAUSE_MILLIS);
      String response = readUntilClosed(caller.getInputStream());
      assertBodyIsComplete(response);
      assertTrue(response.endsWith("READY\n"), () -> tail(response));
    }
  }

  /** Stops the daemon, once. */
  private CompletableFuture<Integer> stopDaemon() {
    if (stopping == null) {
      stopping = daemon.stop();
    }
    return stopping;
  }

  private void applyConfiguration() {
    ImmutableList.Builder<Template> templates = ImmutableList.builder();
    ImmutableList.Builder<Workspace> workspaces = ImmutableList.builder();
    Json.parseYaml(CONFIGURATION)
        .forEach(
            document -> {
              Record resource = ResourceJson.read(document);
              if (resource instanceof Template template) {
                templates.add(template);
              } else {
                workspaces.add((Workspace) resource);
              }
            });
    ConfigurationChange change =
        new ConfigurationChange(
            "change", "test", "", templates.build(), workspaces.build(), ImmutableSet.of());
    var unused =
        ConfigurationEditor.create(executor, store, ConfigurationJson.create(), () -> 0L)
            .apply(change, OptionalLong.empty())
            .join();
  }

  private void list(String box, HttpServerContext server) {
    boxes.put(new Box(box, Box.Role.ENDPOINT, addressOf(server), "dc1", false));
  }

  private static Endpoint endpoint(
      String box, HostPort address, String serves, Optional<LayerRange> layers) {
    return new Endpoint(new EndpointId(box, "1"), address, "dc1", serves, layers, "a", true);
  }

  private static HostPort addressOf(HttpServerContext server) {
    InetSocketAddress address = (InetSocketAddress) server.listenAddress();
    return new HostPort(address.getAddress().getHostAddress(), address.getPort());
  }

  private Socket connect() throws IOException {
    HostPort address = daemon.callersAddress();
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.setSoTimeout(HANG_SECONDS * 1000);
    socket.connect(new InetSocketAddress(address.host(), address.port()));
    return socket;
  }

  private static void send(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(ISO_8859_1));
  }

  private static void sendUntilClosed(Socket caller, String text) {
    try {
      send(caller, text);
    } catch (IOException e) {
      // The node may close the connection before it has read the whole body.
    }
  }

  /** Waits until the node has received the service's answer and counts no request in flight. */
  private void awaitAnsweredByService() throws Exception {
    while (service.runs().isEmpty() || daemon.node().inFlight() > 0) {
      Thread.sleep(POLL_MILLIS);
    }
  }

  /** Waits until the node refuses new requests and only finishes those in flight. */
  private void awaitRefusing() throws Exception {
    while (daemon.node().phase() != Phase.REFUSING) {
      Thread.sleep(POLL_MILLIS);
    }
  }

  /** Reads until the connection ends, in whichever way. */
  private static String readUntilClosed(InputStream in) {
    StringBuilder text = new StringBuilder();
    byte[] part = new byte[RECEIVE_BUFFER_BYTES];
    try {
      for (int length = in.read(part); length >= 0; length = in.read(part)) {
        text.append(new String(part, 0, length, ISO_8859_1));
      }
    } catch (IOException e) {
      text.append(e);
    }
    return text.toString();
  }

  private static void assertBodyIsComplete(String response) {
    assertTrue(response.startsWith("HTTP/1.1 200 "), () -> response.substring(0, 100));
    String body = response.substring(response.indexOf("\r\n\r\n") + 4);
    long received = body.chars().takeWhile(c -> c == 'x').count();
    assertEquals(BODY_BYTES, received, () -> "then " + tail(body));
  }

  private static String tail(String text) {
    return text.substring(Math.max(0, text.length() - 200));
  }
}
