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
import org.vaneworks.coordination.fleet.LinkLoad;
import org.vaneworks.coordination.load.EndpointLoad;
import org.vaneworks.coordination.load.EnginePace;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.coordination.load.ReportedRateLimit;
import org.vaneworks.protocol.LoadCodec;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.transport.entry.LoadDatagrams;

/** Tests the encoding of load reports and their transport over the loopback interface. */
final class LoadDatagramsTest {
  private static final HostPort ANY = new HostPort("127.0.0.1", 0);
  private static final LoadReport REPORT =
      LoadReport.ofNode(
              "box-1",
              ImmutableList.of(new EndpointLoad(-7, 3, 12_000), new EndpointLoad(9, 1, 0)),
              ImmutableList.of(new EnginePace(9, 4.5)),
              ImmutableList.of(
                  new ReportedRateLimit(-7, AdvertisedRateLimit.of(3.3), Duration.ofMillis(250)),
                  new ReportedRateLimit(9, AdvertisedRateLimit.none(), Duration.ZERO)),
              ImmutableList.of(new LinkLoad(-3, 171)))
          .withSuspectedEngines(ImmutableList.of(-7, 9));

  private static final int REPORTS = 30;
  private static final int MAX_COLLECTIONS = 2000;
  private static final int COLLECTION_PAUSE_MILLIS = 5;

  private final IoExecutor io = NettyIoExecutors.createIoExecutor(1, "test");

  @AfterEach
  void closeLoop() throws Exception {
    io.closeAsync().toFuture().get();
  }

  @Test
  void reportSurvivesEncodingAndDecoding() {
    assertEquals(REPORT, LoadCodec.decode(LoadCodec.encode(REPORT)));
  }

  @Test
  void invalidBytesAreRejected() {
    byte[] bytes = {0x0f, 0x7f, 0x01};
    assertThrows(IllegalArgumentException.class, () -> LoadCodec.decode(bytes));
  }

  @Test
  void reportIsDeliveredAfterInvalidDatagram() throws Exception {
    Counters counters = Counters.in(new SimpleMeterRegistry());
    CompletableFuture<LoadReport> received = new CompletableFuture<>();
    LoadDatagrams receiver = LoadDatagrams.listen(ANY, io, received::complete, counters);
    LoadDatagrams sender = LoadDatagrams.listen(ANY, io, report -> {}, counters);
    try (java.net.DatagramSocket otherSocket = new java.net.DatagramSocket()) {
      HostPort to = receiver.address();
      byte[] bytes = {0x0f, 0x7f, 0x01};
      otherSocket.send(
          new java.net.DatagramPacket(
              bytes, bytes.length, java.net.InetAddress.getByName(to.host()), to.port()));
    }
    sender.send(receiver.address(), REPORT);
    assertEquals(REPORT, awaitReport(receiver, received));
    sender.close();
    receiver.close();
  }

  /** Collects until a report was delivered; received reports stay in the socket until then. */
  private LoadReport awaitReport(LoadDatagrams receiver, CompletableFuture<LoadReport> received)
      throws Exception {
    for (int i = 0; i < MAX_COLLECTIONS && !received.isDone(); i++) {
      io.execute(receiver::collect);
      Thread.sleep(COLLECTION_PAUSE_MILLIS);
    }
    return received.get(0, TimeUnit.SECONDS);
  }

  @Test
  void largestReportIsDeliveredInFull() throws Exception {
    Counters counters = Counters.in(new SimpleMeterRegistry());
    ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
    for (int i = 0; i < 2400; i++) {
      loads.add(new EndpointLoad(i * 1_000_003, 5, 3_000_000));
    }
    LoadReport report = LoadReport.ofNode("box-1", loads.build());
    CompletableFuture<LoadReport> received = new CompletableFuture<>();
    LoadDatagrams receiver = LoadDatagrams.listen(ANY, io, received::complete, counters);
    LoadDatagrams sender = LoadDatagrams.listen(ANY, io, delivered -> {}, counters);
    sender.send(receiver.address(), report);
    assertEquals(report, awaitReport(receiver, received));
    sender.close();
    receiver.close();
  }

  /**
   * Guards against reports left in the socket: peers send more often than a node collects, so all
   * later reports would be delayed.
   */
  @Test
  void oneCollectionDeliversAllReceivedReports() throws Exception {
    Counters counters = Counters.in(new SimpleMeterRegistry());
    CountDownLatch delivered = new CountDownLatch(REPORTS);
    LoadDatagrams receiver =
        LoadDatagrams.listen(ANY, io, report -> delivered.countDown(), counters);
    LoadDatagrams sender = LoadDatagrams.listen(ANY, io, report -> {}, counters);
    for (int i = 0; i < REPORTS; i++) {
      sender.send(receiver.address(), REPORT);
    }
    // Runs after the sends on the same loop, when all reports wait in the receiver's socket.
    io.execute(receiver::collect);
    assertTrue(delivered.await(10, TimeUnit.SECONDS), "not delivered: " + delivered.getCount());
    sender.close();
    receiver.close();
  }
}
