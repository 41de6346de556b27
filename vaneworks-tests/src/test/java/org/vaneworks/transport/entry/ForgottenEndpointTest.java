package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.forwarding.AnswerHead;
import org.vaneworks.coordination.forwarding.EndpointCalls.Listener;
import org.vaneworks.state.HostPort;
import org.vaneworks.transport.HttpSender;

/** Checks that an answer outlives its endpoint's entry in the list, over sockets. */
final class ForgottenEndpointTest {
  /** Generous: nothing is measured. */
  private static final int SECONDS = 20;

  private static final String HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  private static final String FIRST = "3\r\none\r\n";
  private static final String REST = "3\r\ntwo\r\n0\r\n\r\n";

  private final IoExecutor io = NettyIoExecutors.createIoExecutor(1, "test");
  private final EndpointConnections connections =
      EndpointConnections.create(io, new PlainHeaders());
  private ServerSocket endpoint;

  @BeforeEach
  void listen() throws IOException {
    endpoint = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    endpoint.setSoTimeout(SECONDS * 1000);
  }

  @AfterEach
  void close() throws Exception {
    endpoint.close();
    io.closeAsync().toFuture().get();
  }

  /** The text of an answer, or what failed. */
  private static final class Answer implements Listener {
    private final CompletableFuture<Void> began = new CompletableFuture<>();
    private final CompletableFuture<String> whole = new CompletableFuture<>();
    private final StringBuilder text = new StringBuilder();

    @Override
    public void head(AnswerHead head) {
      began.complete(null);
    }

    @Override
    public void data(byte[] bytes) {
      text.append(new String(bytes, US_ASCII));
    }

    @Override
    public void end() {
      whole.complete(text.toString());
    }

    @Override
    public void failed(boolean neverSent, Throwable cause) {
      whole.complete("failed, never sent: " + neverSent + ", " + cause);
    }

    String text() throws Exception {
      return whole.get(SECONDS, TimeUnit.SECONDS);
    }
  }

  private void send(Answer answer) {
    var unused =
        connections.send(
            EndpointConnectionsTest.attempt((InetSocketAddress) endpoint.getLocalSocketAddress()),
            answer);
  }

  private void forget() {
    connections.closeConnections(address());
  }

  private void onLoop(Runnable step) throws Exception {
    io.submit(step).toFuture().get(SECONDS, TimeUnit.SECONDS);
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(US_ASCII));
  }

  private static void awaitRequest(Socket socket) throws IOException {
    socket.setSoTimeout(SECONDS * 1000);
    InputStream in = socket.getInputStream();
    String got = "";
    while (!got.endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next == -1) {
        throw new IOException("no request, but an end after: " + got);
      }
      got += (char) next;
    }
  }

  // Guards against streams cut when the entry of an endpoint goes that serves on.
  @Test
  void answerUnderWayEndsWhole() throws Exception {
    Answer answer = new Answer();
    onLoop(() -> send(answer));
    try (Socket socket = endpoint.accept()) {
      awaitRequest(socket);
      write(socket, HEAD + FIRST);
      answer.began.get(SECONDS, TimeUnit.SECONDS);
      onLoop(this::forget);
      write(socket, REST);
      assertEquals("onetwo", answer.text());
    }
  }

  // Guards against requests lost that wait for their head as the endpoint's entry goes.
  @Test
  void answerWhoseHeadIsAwaitedEndsWhole() throws Exception {
    Answer answer = new Answer();
    onLoop(() -> send(answer));
    try (Socket socket = endpoint.accept()) {
      awaitRequest(socket);
      onLoop(this::forget);
      write(socket, HEAD + FIRST + REST);
      assertEquals("onetwo", answer.text());
    }
  }

  // Guards against requests lost whose connection is just being opened as the entry goes.
  @Test
  void answerWhoseConnectionIsBeingOpenedEndsWhole() throws Exception {
    Answer answer = new Answer();
    onLoop(
        () -> {
          send(answer);
          forget();
        });
    CompletableFuture<Void> served = CompletableFuture.runAsync(this::serveOne);
    assertEquals("onetwo", answer.text());
    served.get(SECONDS, TimeUnit.SECONDS);
  }

  // Guards against engines suspected as their entry goes: the node itself failed its question.
  @Test
  void questionWhoseConnectionIsBeingOpenedIsAnswered() throws Exception {
    CompletableFuture<Void> served = CompletableFuture.runAsync(this::serveOne);
    CompletableFuture<String> answer = new CompletableFuture<>();
    onLoop(
        () -> {
          var unused =
              askAndForget().whenComplete((got, failure) -> complete(answer, got, failure));
        });
    assertEquals("onetwo", answer.get(SECONDS, TimeUnit.SECONDS));
    served.get(SECONDS, TimeUnit.SECONDS);
  }

  private CompletableFuture<HttpSender.Response> askAndForget() {
    HttpSender sender = HttpSender.onEventLoop(io);
    CompletableFuture<HttpSender.Response> answer =
        sender.get(address(), "/report", Duration.ofSeconds(SECONDS));
    sender.closeConnections(address());
    return answer;
  }

  private static void complete(
      CompletableFuture<String> answer, HttpSender.Response got, Throwable failure) {
    answer.complete(failure == null ? got.body() : String.valueOf(failure));
  }

  private HostPort address() {
    return new HostPort(endpoint.getInetAddress().getHostAddress(), endpoint.getLocalPort());
  }

  private void serveOne() {
    try (Socket socket = endpoint.accept()) {
      awaitRequest(socket);
      write(socket, HEAD + FIRST + REST);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  // Guards against answers that end, or are mixed up, as a new endpoint takes the address.
  @Test
  void newEndpointAtTheAddressGetsItsOwnConnection() throws Exception {
    Answer former = new Answer();
    onLoop(() -> send(former));
    try (Socket formerSocket = endpoint.accept()) {
      awaitRequest(formerSocket);
      write(formerSocket, HEAD + FIRST);
      former.began.get(SECONDS, TimeUnit.SECONDS);
      onLoop(this::forget);
      Answer next = new Answer();
      onLoop(() -> send(next));
      try (Socket nextSocket = endpoint.accept()) {
        assertNotEquals(formerSocket.getPort(), nextSocket.getPort());
        awaitRequest(nextSocket);
        write(nextSocket, HEAD + FIRST + REST);
        assertEquals("onetwo", next.text());
      }
      write(formerSocket, REST);
      assertEquals("onetwo", former.text());
    }
  }

  // Guards against connections that are kept for an endpoint that is gone.
  @Test
  void connectionIsClosedAfterItsAnswer() throws Exception {
    Answer answer = new Answer();
    onLoop(() -> send(answer));
    try (Socket socket = endpoint.accept()) {
      awaitRequest(socket);
      onLoop(this::forget);
      write(socket, HEAD + FIRST + REST);
      assertEquals("onetwo", answer.text());
      assertEquals(-1, socket.getInputStream().read());
    }
  }
}
