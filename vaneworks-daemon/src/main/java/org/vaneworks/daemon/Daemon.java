package org.vaneworks.daemon;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.http.api.HttpServerContext;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.NodeDependencies;
import org.vaneworks.protocol.ClaimJson;
import org.vaneworks.protocol.ConfigurationJson;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.transport.CallerServer;
import org.vaneworks.transport.HttpBoxList;
import org.vaneworks.transport.HttpEndpointClient;
import org.vaneworks.transport.HttpPlatformStore;
import org.vaneworks.transport.HttpSender;
import org.vaneworks.transport.PeerClient;
import org.vaneworks.transport.PeerServer;
import org.vaneworks.transport.ResponseDeliveries;

/** A running daemon, which owns a node, its sockets and its threads. */
public final class Daemon {
  /** How long callers may take to close connections after their last response. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  private final Node node;
  private final Executor executor;
  private final ImmutableList<HttpSender> senders;
  private final HttpServerContext callerServer;
  private final ResponseDeliveries deliveries;
  private final PeerServer peerServer;
  private final EventLoopGroup peerLoop;

  private Daemon(
      Node node,
      Executor executor,
      ImmutableList<HttpSender> senders,
      HttpServerContext callerServer,
      ResponseDeliveries deliveries,
      PeerServer peerServer,
      EventLoopGroup peerLoop) {
    this.node = node;
    this.executor = executor;
    this.senders = senders;
    this.callerServer = callerServer;
    this.deliveries = deliveries;
    this.peerServer = peerServer;
    this.peerLoop = peerLoop;
  }

  /** Starts a daemon, whose sockets are listening when this method returns. */
  public static Daemon start(DaemonSettings settings) throws Exception {
    Executor executor = Executors.newFixedSizeExecutor(settings.workers());
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    Counters counters = Counters.in(registry);
    HttpSender platformSender = HttpSender.create(executor);
    HttpSender endpointSender = HttpSender.create(executor);
    EventLoopGroup peerLoop = new NioEventLoopGroup(1);
    SecureRandom random = new SecureRandom();
    NodeDependencies dependencies =
        new NodeDependencies(
            executor,
            new Random(random.nextLong()),
            HttpPlatformStore.at(platformSender, settings.platform()),
            HttpBoxList.at(platformSender, settings.platform()),
            HttpEndpointClient.create(endpointSender, settings.limits().endpoints().stepTimeout()),
            PeerClient.create(peerLoop, executor, counters),
            ConfigurationJson.create(),
            ClaimJson.create(),
            counters);
    CompletableFuture<Node> nodeFuture = new CompletableFuture<>();
    PeerServer peerServer =
        PeerServer.listen(
            settings.peers(),
            peerLoop,
            executor,
            counters,
            message -> nodeFuture.thenCompose(node -> node.serve(message)));
    String incarnation = Long.toHexString(random.nextLong());
    String secret = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    Node node =
        Node.create(settings.nodeSettings(incarnation, secret, peerServer.address()), dependencies);
    nodeFuture.complete(node);
    ResponseDeliveries deliveries = ResponseDeliveries.create(executor);
    HttpServerContext callerServer =
        CallerServer.listen(
            settings.callers(),
            node,
            executor,
            settings.maxBodyBytes(),
            registry::scrape,
            deliveries);
    Daemon daemon =
        new Daemon(
            node,
            executor,
            ImmutableList.of(platformSender, endpointSender),
            callerServer,
            deliveries,
            peerServer,
            peerLoop);
    EventLog.info(
        Event.STARTED,
        "node",
        settings.name(),
        "callers",
        daemon.callersAddress(),
        "peers",
        peerServer.address(),
        "incarnation",
        incarnation);
    node.start();
    return daemon;
  }

  /** Returns the address on which the daemon listens for callers. */
  public HostPort callersAddress() {
    InetSocketAddress address = (InetSocketAddress) callerServer.listenAddress();
    return new HostPort(address.getAddress().getHostAddress(), address.getPort());
  }

  /** Returns the node. */
  public Node node() {
    return node;
  }

  /**
   * Performs a planned stop. Callers may read their responses until the stop deadline.
   *
   * @return the number of requests that were cut; at least 1 if a response was not read in time
   */
  public CompletableFuture<Integer> stop() {
    long deadline =
        executor.currentTime(NANOSECONDS) + node.settings().limits().stop().deadline().toNanos();
    return node.stop()
        .thenCompose(
            cutRequests -> {
              long remaining = deadline - executor.currentTime(NANOSECONDS);
              return deliveries
                  .awaitWritten(Duration.ofNanos(Math.max(0, remaining)))
                  .thenApply(written -> written ? cutRequests : countUnread(cutRequests));
            })
        .thenApply(
            cutRequests -> {
              closeSockets();
              return cutRequests;
            });
  }

  private static int countUnread(int cutRequests) {
    EventLog.warn(Event.STOP_CUT, "cause", "callers did not read their responses in time");
    return Math.max(1, cutRequests);
  }

  private void closeSockets() {
    try {
      // A graceful close lets callers read what is in their sockets and close first.
      callerServer
          .closeAsyncGracefully()
          .toFuture()
          .get(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      callerServer.closeAsync().subscribe();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      EventLog.error(Event.STOP_CUT, e);
    }
    peerServer.close();
    var unused = peerLoop.shutdownGracefully();
    senders.forEach(HttpSender::close);
    executor.closeAsync().subscribe();
  }
}
