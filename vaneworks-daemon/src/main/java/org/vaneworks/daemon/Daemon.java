package org.vaneworks.daemon;

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

/** One running daemon: a node with its sockets. */
public final class Daemon {
  /** Past a stream's own step timeout, so that the decision is made there. */
  private static final Duration CONNECTION_GRACE = Duration.ofSeconds(1);

  /** How long answers already written may take to leave the sockets. */
  private static final Duration FLUSH = Duration.ofSeconds(2);

  private final Node node;
  private final Executor executor;
  private final HttpSender sender;
  private final HttpServerContext callers;
  private final PeerServer peers;
  private final EventLoopGroup peerLoop;

  private Daemon(
      Node node,
      Executor executor,
      HttpSender sender,
      HttpServerContext callers,
      PeerServer peers,
      EventLoopGroup peerLoop) {
    this.node = node;
    this.executor = executor;
    this.sender = sender;
    this.callers = callers;
    this.peers = peers;
    this.peerLoop = peerLoop;
  }

  /** Starts a daemon; it listens once this returns. */
  public static Daemon start(DaemonSettings settings) throws Exception {
    Executor executor = Executors.newFixedSizeExecutor(settings.workers());
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    Counters counters = Counters.in(registry);
    HttpSender sender = HttpSender.create(executor);
    EventLoopGroup peerLoop = new NioEventLoopGroup(1);
    SecureRandom random = new SecureRandom();
    NodeDependencies outside =
        new NodeDependencies(
            executor,
            new Random(random.nextLong()),
            HttpPlatformStore.at(sender, settings.platform()),
            HttpBoxList.at(sender, settings.platform()),
            HttpEndpointClient.create(
                sender, settings.limits().endpoints().stepTimeout().plus(CONNECTION_GRACE)),
            PeerClient.create(peerLoop, executor, counters),
            ConfigurationJson.create(),
            ClaimJson.create(),
            counters);
    CompletableFuture<Node> made = new CompletableFuture<>();
    PeerServer peers =
        PeerServer.listen(
            settings.peers(),
            peerLoop,
            executor,
            counters,
            message -> made.thenCompose(node -> node.serve(message)));
    String incarnation = Long.toHexString(random.nextLong());
    String secret = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    Node node = Node.create(settings.nodeSettings(incarnation, secret, peers.address()), outside);
    made.complete(node);
    HttpServerContext callers =
        CallerServer.listen(
            settings.callers(), node, executor, settings.maxBodyBytes(), registry::scrape);
    Daemon daemon = new Daemon(node, executor, sender, callers, peers, peerLoop);
    EventLog.info(
        Event.STARTED,
        "node",
        settings.name(),
        "callers",
        daemon.callersAddress(),
        "peers",
        peers.address(),
        "incarnation",
        incarnation);
    node.start();
    return daemon;
  }

  /** Returns where callers are listened to. */
  public HostPort callersAddress() {
    InetSocketAddress address = (InetSocketAddress) callers.listenAddress();
    return new HostPort(address.getAddress().getHostAddress(), address.getPort());
  }

  /** Returns the node. */
  public Node node() {
    return node;
  }

  /** Stops as planned; returns the number of requests that were cut. */
  public CompletableFuture<Integer> stop() {
    return node.stop()
        .thenApply(
            cut -> {
              closeSockets();
              return cut;
            });
  }

  private void closeSockets() {
    try {
      // Graceful: connections finish the answer that they carry.
      callers.closeAsyncGracefully().toFuture().get(FLUSH.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      callers.closeAsync().subscribe();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      EventLog.error(Event.STOP_CUT, e);
    }
    peers.close();
    var unused = peerLoop.shutdownGracefully();
    sender.close();
    executor.closeAsync().subscribe();
  }
}
