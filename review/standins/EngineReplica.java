package review;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for a model replica that nobody asks for streams: it starts empty, tells its state and
 * takes orders to hold layers. Its entry goes after three silent check-ins.
 */
final class EngineReplica {
  private static final int HEARTBEAT_MS = 1200;

  /** Loads before the first request take a tenth of the time; here nobody sends one. */
  private static final double LOAD_SHARE = 0.1;

  /** An order as it arrived. */
  record Order(String replica, int layers, int fits, int status) {}

  final String id;
  final int port;
  private final Lab lab;
  private final Store store;
  private final String service;
  private final String zone;
  private final String kind;
  private final int mb;
  private final int layerMb;
  private final double loadSecondsPerLayer;
  private final List<Order> orders;
  private final long born = System.currentTimeMillis();
  private final ServerSocket listener;
  private final List<Socket> channels = new ArrayList<>();
  private int from;
  private int to;
  private int seq;
  private boolean loading;
  private long highestFence;
  private volatile boolean ended;

  EngineReplica(
      Lab lab,
      Store store,
      String id,
      int port,
      String service,
      String zone,
      String kind,
      int mb,
      int layerMb,
      double loadSecondsPerLayer,
      List<Order> orders)
      throws IOException {
    this.lab = lab;
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.kind = kind;
    this.mb = mb;
    this.layerMb = layerMb;
    this.loadSecondsPerLayer = loadSecondsPerLayer;
    this.orders = orders;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 100);
    this.port = listener.getLocalPort();
    enter();
    lab.log("replica %s of %s (%s, %d mb) starts at port %d", id, service, kind, mb, this.port);
    PlainReplica.daemon(this::accept);
  }

  /** Crashes: its channels are reset, its port refuses, its entry goes after three check-ins. */
  void crash() throws IOException {
    lab.log("replica %s crashes", id);
    ended = true;
    listener.close();
    synchronized (channels) {
      for (Socket channel : channels) {
        if (!channel.isClosed()) {
          channel.setSoLinger(true, 0);
          channel.close();
        }
      }
    }
    PlainReplica.daemon(
        () -> {
          Lab.sleep(3 * HEARTBEAT_MS);
          store.remove("servers/" + id);
          lab.log("the entry of %s goes", id);
        });
  }

  private synchronized void enter() {
    if (!ended) {
      store.put(
          "servers/" + id,
          ("{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                  + "\"slots\":134,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"dual\","
                  + "\"born\":%d,\"models\":[%s],\"seq\":1}")
              .formatted(service, port, zone, born, model()));
    }
  }

  private String model() {
    String layers =
        to > from
            ? "{\"from\":%d,\"toVersion\":%d,\"version\":1}".formatted(from, to)
            : "{\"from\":0,\"toVersion\":0,\"version\":1}";
    return "{\"name\":\"m0\",\"version\":1,\"adapters\":[],\"kind\":\"%s\",\"layers\":%s}"
        .formatted(kind, layers);
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        synchronized (channels) {
          channels.add(socket);
        }
        PlainReplica.daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http request = Http.readHead(in);
        if (request == null) {
          return;
        }
        request.readBody(in, false);
        String expected = request.header("X-Expect-Replica");
        if (!expected.isEmpty() && !expected.equals(id)) {
          lab.log("%s: %s is for %s: 421", id, request.startLine, expected);
          answer(out, "421 Misdirected Request", "");
        } else if (request.startLine.startsWith("GET /report ")) {
          answer(out, "200 OK", report());
        } else if (request.startLine.startsWith("POST /order ")) {
          answer(out, order(new String(request.body, UTF_8)), "{}");
        } else if (request.startLine.startsWith("GET /health ")) {
          answer(out, "200 OK", "");
        } else {
          answer(out, "503 Service Unavailable", "");
        }
      }
    } catch (IOException e) {
      // The node closed the channel, or this replica has ended.
    }
  }

  private void answer(OutputStream out, String status, String body) throws IOException {
    String notRun = status.startsWith("503") || status.startsWith("421") ? "X-Not-Run: 1\r\n" : "";
    out.write(
        ("HTTP/1.1 %s\r\nX-Replica-Id: %s\r\n%sContent-Type: application/json\r\n"
                + "Content-Length: %d\r\n\r\n%s")
            .formatted(status, id, notRun, body.length(), body)
            .getBytes(ISO_8859_1));
  }

  private synchronized String report() {
    return ("{\"stage\":\"dual\",\"born\":%d,\"models\":[%s],\"load\":%s,\"seq\":%d,\"queued\":0,\"running\":0,"
            + "\"kvUsed\":0,\"kvTotal\":%d,\"handles\":0,\"pace\":1.0,\"stalled\":[]}")
        .formatted(born, model(), loading, seq, 90_000);
  }

  private synchronized String order(String text) {
    Map<String, Object> order = Json.object(text);
    if (!"place".equals(order.get("op"))) {
      return "400 Bad Request";
    }
    int nextFrom = number(order.get("from"));
    int nextTo = number(order.get("toVersion"));
    long fence = order.containsKey("fence") ? ((Double) order.get("fence")).longValue() : 0;
    int status;
    if (fence < highestFence) {
      status = 412;
    } else if (order.containsKey("expectRev") && number(order.get("expectRev")) != seq) {
      status = 409;
    } else if (nextFrom == from && nextTo == to) {
      status = 200;
    } else {
      status = 202;
    }
    highestFence = Math.max(highestFence, fence);
    int layers = nextTo - nextFrom;
    orders.add(new Order(id, layers, mb / layerMb, status));
    lab.log(
        "%s of %s gets the order %s: %d layers, its %d mb hold %d: %d",
        id, service, text, layers, mb, mb / layerMb, status);
    if (status == 202) {
      seq++;
      if (layers > mb / layerMb) {
        lab.log("%s falls", id);
        PlainReplica.daemon(
            () -> {
              try {
                crash();
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
      } else {
        loading = true;
        PlainReplica.daemon(() -> load(nextFrom, nextTo));
      }
    }
    return status == 202
        ? "202 Accepted"
        : status == 200 ? "200 OK" : status == 409 ? "409 Conflict" : "412 Precondition Failed";
  }

  private static int number(Object value) {
    return ((Double) value).intValue();
  }

  private void load(int nextFrom, int nextTo) {
    Lab.sleep((long) (1000 * LOAD_SHARE * loadSecondsPerLayer * (nextTo - nextFrom)));
    synchronized (this) {
      from = nextFrom;
      to = nextTo;
      loading = false;
    }
    lab.log("%s holds layers %d to %d", id, from, to);
    enter();
  }
}
