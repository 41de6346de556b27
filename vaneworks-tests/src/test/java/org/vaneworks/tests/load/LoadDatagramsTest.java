package org.vaneworks.tests.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.load.EndpointLimit;
import org.vaneworks.coordination.load.EndpointLoad;
import org.vaneworks.coordination.load.EnginePace;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.protocol.LoadCodec;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.transport.entry.LoadDatagrams;

/** Checks load reports as bytes and over the loopback. */
final class LoadDatagramsTest {
  private static final HostPort ANY = new HostPort("127.0.0.1", 0);
  private static final LoadReport REPORT =
      LoadReport.ofNode(
          "box-1",
          ImmutableList.of(new EndpointLoad(-7, 3, 12_000), new EndpointLoad(9, 1, 0)),
          ImmutableList.of(new EnginePace(9, 4.5)),
          ImmutableList.of(
              new EndpointLimit(-7, AdvertisedRateLimit.of(3.3), Duration.ofMillis(250)),
              new EndpointLimit(9, AdvertisedRateLimit.none(), Duration.ZERO)));

  private static final int REPORTS = 30;
  private static final int MAX_COLLECTIONS = 2000;
  private static final int COLLECTION_PAUSE_MILLIS = 5;

  private final IoExecutor io = NettyIoExecutors.createIoExecutor(1, "test");

  @AfterEach
  void closeLoop() throws Exception {
    io.closeAsync().toFuture().get();
  }

  @Test
  void reportIsReadAsItWasWritten() {
    assertEquals(REPORT, LoadCodec.decode(LoadCodec.encode(REPORT)));
  }

  @Test
  void bytesThatAreNoReportAreAnError() {
    byte[] bytes = {0x0f, 0x7f, 0x01};
    assertThrows(IllegalArgumentException.class, () -> LoadCodec.decode(bytes));
  }

  @Test
  void reportReachesItsPeerAlsoAfterBytesThatAreNone() throws Exception {
    Counters counters = Counters.in(new SimpleMeterRegistry());
    CompletableFuture<LoadReport> got = new CompletableFuture<>();
    LoadDatagrams receiver = LoadDatagrams.listen(ANY, io, got::complete, counters);
    LoadDatagrams sender = LoadDatagrams.listen(ANY, io, report -> {}, counters);
    try (java.net.DatagramSocket stranger = new java.net.DatagramSocket()) {
      HostPort to = receiver.address();
      byte[] bytes = {0x0f, 0x7f, 0x01};
      stranger.send(
          new java.net.DatagramPacket(
              bytes, bytes.length, java.net.InetAddress.getByName(to.host()), to.port()));
    }
    sender.send(receiver.address(), REPORT);
    assertEquals(REPORT, collected(receiver, got));
    sender.close();
    receiver.close();
  }

  /** Reports wait in the socket until they are collected. */
  private LoadReport collected(LoadDatagrams receiver, CompletableFuture<LoadReport> got)
      throws Exception {
    for (int i = 0; i < MAX_COLLECTIONS && !got.isDone(); i++) {
      io.execute(receiver::collect);
      Thread.sleep(COLLECTION_PAUSE_MILLIS);
    }
    return got.get(0, TimeUnit.SECONDS);
  }

  @Test
  void longestReportIsReadWhole() throws Exception {
    Counters counters = Counters.in(new SimpleMeterRegistry());
    ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
    for (int i = 0; i < 2400; i++) {
      loads.add(new EndpointLoad(i * 1_000_003, 5, 3_000_000));
    }
    LoadReport report = LoadReport.ofNode("box-1", loads.build());
    CompletableFuture<LoadReport> got = new CompletableFuture<>();
    LoadDatagrams receiver = LoadDatagrams.listen(ANY, io, got::complete, counters);
    LoadDatagrams sender = LoadDatagrams.listen(ANY, io, heard -> {}, counters);
    sender.send(receiver.address(), report);
    assertEquals(report, collected(receiver, got));
    sender.close();
    receiver.close();
  }

  /**
   * Peers tell more often than a node collects: what is left behind makes all that follows late.
   */
  @Test
  void oneCollectionHandsOverAllThatHasCome() throws Exception {
    Counters counters = Counters.in(new SimpleMeterRegistry());
    CountDownLatch heard = new CountDownLatch(REPORTS);
    LoadDatagrams receiver = LoadDatagrams.listen(ANY, io, report -> heard.countDown(), counters);
    LoadDatagrams sender = LoadDatagrams.listen(ANY, io, report -> {}, counters);
    for (int i = 0; i < REPORTS; i++) {
      sender.send(receiver.address(), REPORT);
    }
    // Behind the sends on the same loop: by then all of them wait in the receiver's socket.
    io.execute(receiver::collect);
    assertTrue(heard.await(10, TimeUnit.SECONDS), "left behind: " + heard.getCount());
    sender.close();
    receiver.close();
  }
}
