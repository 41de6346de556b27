package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.HttpResponseMetaDataFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.vaneworks.coordination.forwarding.CallerAnswer;
import org.vaneworks.coordination.forwarding.CallerRequest;
import org.vaneworks.state.EndpointStatement;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.telemetry.Counters;

/** A server of callers whose answers the test gives, over loopback sockets. */
final class EntryFixture implements AutoCloseable {
  /** Generous: nothing is measured. */
  private static final int SECONDS = 30;

  private static final int READ_MILLIS = SECONDS * 1000;

  /** Small, so that bytes are soon held at the node. */
  private static final int RECEIVE_BYTES = 4096;

  /** What a test knows of one request. */
  static final class Taken implements CallerAnswer.Flow {
    final CallerAnswer answer;
    private final CountDownLatch left = new CountDownLatch(1);
    private final AtomicInteger gone = new AtomicInteger();

    Taken(CallerAnswer answer) {
      this.answer = answer;
    }

    @Override
    public void drained() {}

    @Override
    public void gone() {
      gone.incrementAndGet();
      left.countDown();
    }

    /** Waits until the caller was seen to have left. */
    void awaitGone() throws InterruptedException {
      if (!left.await(SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException("the caller was not seen to leave");
      }
    }

    /** Returns how often the caller was said to have left. */
    int timesGone() {
      return gone.get();
    }
  }

  final IoExecutor io = NettyIoExecutors.createIoExecutor(1, "test");
  final CallerConnections connections = CallerConnections.create();
  final Counters counters = Counters.in(new SimpleMeterRegistry());
  private final BlockingQueue<Taken> taken = new LinkedBlockingQueue<>();
  private final HttpServerContext server;
  private volatile boolean closing;
  private volatile EntryLimits limits = limits(Duration.ofHours(1));

  private EntryFixture() throws Exception {
    server =
        EntryServer.listen(
            new HostPort("127.0.0.1", 0),
            io,
            this::take,
            new PlainHeaders(),
            16_384,
            () -> limits,
            () -> closing,
            connections,
            counters);
  }

  static EntryFixture start() throws Exception {
    return new EntryFixture();
  }

  private static EntryLimits limits(Duration idle) {
    return new EntryLimits(16_384, 1 << 20, Duration.ofSeconds(SECONDS), idle);
  }

  void idleLimit(Duration idle) {
    limits = limits(idle);
  }

  /** Each answer is the last of its connection from now on. */
  void closeAfterAnswers() {
    closing = true;
  }

  private CallerAnswer.Flow take(CallerRequest request, CallerAnswer answer) {
    Taken next = new Taken(answer);
    taken.add(next);
    return next;
  }

  /** Returns the next request that was taken. */
  Taken next() throws InterruptedException {
    Taken next = taken.poll(SECONDS, TimeUnit.SECONDS);
    if (next == null) {
      throw new IllegalStateException("no request came");
    }
    return next;
  }

  /** Returns a connection whose caller takes little before it reads. */
  Socket connect() throws IOException {
    InetSocketAddress address = (InetSocketAddress) server.listenAddress();
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BYTES);
    socket.setSoTimeout(READ_MILLIS);
    socket.connect(new InetSocketAddress("127.0.0.1", address.getPort()));
    return socket;
  }

  static void ask(Socket socket) throws IOException {
    ask(socket, "GET");
  }

  static void ask(Socket socket, String method) throws IOException {
    ask(socket, method, "");
  }

  static void ask(Socket socket, String method, String headers) throws IOException {
    String request = method + " / HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
    socket.getOutputStream().write(request.getBytes(US_ASCII));
  }

  /** Runs a step on the node's loop and waits for its end. */
  void onLoop(Runnable step) throws Exception {
    io.submit(step).toFuture().get(SECONDS, TimeUnit.SECONDS);
  }

  /** Returns the head of a streamed answer. */
  static EndpointAnswerHead head() {
    HttpHeaders headers = DefaultHttpHeadersFactory.INSTANCE.newHeaders();
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    return new EndpointAnswerHead(
        HttpResponseMetaDataFactory.newResponseMetaData(
            HttpProtocolVersion.HTTP_1_1, HttpResponseStatus.OK, headers),
        false,
        true,
        Optional.empty(),
        EndpointStatement.NONE);
  }

  /** Waits until a connection that was opened now has been closed as idle. */
  void awaitIdleLimit() throws IOException {
    try (Socket idle = connect()) {
      if (idle.getInputStream().read() != -1) {
        throw new IllegalStateException("an answer nobody asked for");
      }
    }
  }

  @Override
  public void close() throws Exception {
    server.closeAsync().toFuture().get(SECONDS, TimeUnit.SECONDS);
    io.closeAsync().toFuture().get(SECONDS, TimeUnit.SECONDS);
  }
}
