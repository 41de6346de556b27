package org.vaneworks.transport.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.unix.UnixChannel;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import java.io.Closeable;
import java.io.FileInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests connections that are accepted after the event loop closed another one, in the same batch of
 * events and before the event of the closed one, so that they have its descriptor.
 */
final class AcceptedConnectionTest {
  /** Other threads may take or free a descriptor. */
  private static final int MAX_TRIES = 50;

  private static final int LOOP_ROUNDS = 100;

  private final List<Closeable> open = new ArrayList<>();
  private EntryFixture fixture;

  @BeforeEach
  void start() throws Exception {
    assumeTrue(Epoll.isAvailable(), "other transports do not find channels by descriptor");
    fixture = EntryFixture.start();
  }

  @AfterEach
  void stop() throws Exception {
    for (Closeable resource : open) {
      resource.close();
    }
    if (fixture != null) {
      fixture.close();
    }
  }

  /** What the loop is told of the closed connection. */
  private enum LastEvent {
    DATA {
      @Override
      void send(Socket leaving) throws IOException {
        leaving.getOutputStream().write('G');
      }
    },
    END {
      @Override
      void send(Socket leaving) throws IOException {
        leaving.shutdownOutput();
      }
    },
    RESET {
      @Override
      void send(Socket leaving) throws IOException {
        leaving.setSoLinger(true, 0);
        leaving.close();
      }
    };

    abstract void send(Socket leaving) throws IOException;
  }

  /** A connection with the descriptor of a closed one. */
  private record Accepted(Socket caller, Channel channel) {}

  private Socket connect() throws IOException {
    Socket socket = fixture.connect();
    open.add(socket);
    return socket;
  }

  /** Returns the node's end of a connection. */
  private Channel accepted(Socket caller) throws Exception {
    AtomicReference<Optional<Channel>> found = new AtomicReference<>(Optional.empty());
    for (int i = 0; i < LOOP_ROUNDS && found.get().isEmpty(); i++) {
      fixture.runOnEventLoop(() -> found.set(find(caller.getLocalPort())));
    }
    return found.get().orElseThrow();
  }

  private Optional<Channel> find(int callerPort) {
    var group = ((EventLoopAwareNettyIoExecutor) fixture.io).eventLoopGroup();
    Iterator<Channel> channels =
        ((SingleThreadEventLoop) group.next()).registeredChannelsIterator();
    while (channels.hasNext()) {
      Channel channel = channels.next();
      if (channel.remoteAddress() instanceof InetSocketAddress remote
          && remote.getPort() == callerPort) {
        return Optional.of(channel);
      }
    }
    return Optional.empty();
  }

  private static int descriptor(Channel channel) {
    return ((UnixChannel) channel).fd().intValue();
  }

  private CountDownLatch holdLoop() throws Exception {
    // The loop forgets what was ready before.
    for (int i = 0; i < LOOP_ROUNDS; i++) {
      fixture.runOnEventLoop(() -> {});
    }
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch ready = new CountDownLatch(1);
    fixture.io.execute(
        () -> {
          held.countDown();
          try {
            ready.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    held.await();
    return ready;
  }

  /**
   * Accepts a connection in the batch in which another one is closed that has an event left.
   *
   * @return empty if it got another descriptor
   */
  private Optional<Accepted> acceptAfterClose(LastEvent event) throws Exception {
    Socket leaving = connect();
    Channel closed = accepted(leaving);
    int descriptor = descriptor(closed);
    Socket asking = connect();
    var unused = accepted(asking);
    CountDownLatch ready = holdLoop();
    fixture.onRequest(() -> CallerConnection.of(closed).giveUpInput());
    EntryFixture.sendRequest(asking);
    Socket next = connect();
    event.send(leaving);
    if (leaving.isClosed()) {
      // The caller's descriptor would be the first that is free.
      open.add(new FileInputStream("/dev/null"));
    }
    ready.countDown();
    fixture.next();
    fixture.onRequest(() -> {});
    Channel channel = accepted(next);
    return descriptor(channel) == descriptor
        ? Optional.of(new Accepted(next, channel))
        : Optional.empty();
  }

  private Accepted acceptWithSameDescriptor(LastEvent event) throws Exception {
    for (int i = 0; i < MAX_TRIES; i++) {
      Optional<Accepted> accepted = acceptAfterClose(event);
      if (accepted.isPresent()) {
        return accepted.get();
      }
    }
    throw new IllegalStateException("no accepted connection got the descriptor of a closed one");
  }

  /** Counts how often the loop reads from a connection. */
  private static final class Reads extends ChannelInboundHandlerAdapter {
    private final AtomicInteger count = new AtomicInteger();

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
      count.incrementAndGet();
      super.channelReadComplete(context);
    }
  }

  // Guards against an event loop that is busy with an idle connection until its caller leaves.
  @ParameterizedTest
  @EnumSource(LastEvent.class)
  void acceptedConnectionGetsNoEventsOfAClosedOne(LastEvent event) throws Exception {
    Accepted accepted = acceptWithSameDescriptor(event);
    Reads reads = new Reads();
    accepted.channel().pipeline().addFirst(reads);
    for (int i = 0; i < LOOP_ROUNDS; i++) {
      fixture.runOnEventLoop(() -> {});
    }
    assertEquals(0, reads.count.get(), "reads of a connection whose caller has sent nothing");

    EntryFixture.sendRequest(accepted.caller());
    EntryFixture.ReceivedRequest request = fixture.next();
    fixture.runOnEventLoop(() -> request.response.head(EntryFixture.responseHead()));
    assertEquals('H', accepted.caller().getInputStream().read());
    accepted.caller().shutdownOutput();
    request.awaitDisconnect();
  }

  // Guards against a caller who waits at a connection that nobody reads.
  @Test
  void connectionThatIsAcceptedAsTheServerClosesIsClosed() throws Exception {
    Socket asking = connect();
    var unused = accepted(asking);
    fixture.onRequest(() -> fixture.startClosing());
    CountDownLatch ready = holdLoop();
    Socket next = connect();
    EntryFixture.sendRequest(asking);
    ready.countDown();
    fixture.next();
    assertTrue(isClosed(next));
  }

  private static boolean isClosed(Socket caller) throws IOException {
    try {
      return caller.getInputStream().read() == -1;
    } catch (SocketException e) {
      return true;
    }
  }
}
