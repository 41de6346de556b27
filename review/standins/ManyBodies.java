package review;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: for three seconds more clients than usual send bodies well below the limit. */
public final class ManyBodies {
  private static final int USUAL_CLIENTS = 90;
  private static final double BURST = 1.7;
  private static final long BURST_MS = 3000;
  private static final int BODY_BYTES = 220_000;
  private static final long PART_MS = 120;
  private static final int KEPT = 20;

  /** The node counts as choked for so long after the burst, and is in touch so long after that. */
  private static final long CHOKED_MS = 5000;

  private static final long CONTACT_MS = 3000;
  private static final int TIMEOUT_MS = 2000;
  private static final int GRACE_MS = 500;

  private ManyBodies() {}

  private static String route(String name, String kind, int timeoutMs, String service) {
    return ("{\"name\":\"%s\",\"host\":\"a.example\",\"pathPrefix\":\"/%s/\",\"kind\":\"%s\","
            + "\"timeoutMs\":%d,\"sloMs\":300,\"prio\":2,\"service\":\"%s\",\"attempts\":1,"
            + "\"public\":false}")
        .formatted(name, name, kind, timeoutMs, service);
  }

  private static String service(String name) {
    return ("{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":110,\"proto\":\"h1\","
            + "\"tls\":false}")
        .formatted(name);
  }

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    Store store = new Store();
    store.put(
        "op/config",
        Configurations.of(
            7,
            route("lookup", "safe", TIMEOUT_MS, "records")
                + ","
                + route("file", "unsafe", 15_000, "archive"),
            service("records") + "," + service("archive")));
    for (int i = 0; i < 3; i++) {
      new PlainReplica(lab, store, "rec" + i, "records", "z1", 6, 60);
      new SlowReader(lab, store, "arc" + i, "archive", "z1", 64, PART_MS);
    }
    Lab.Node node = lab.new Node("node0", "z1", store.port());
    node.start();
    node.awaitReady();
    AtomicBoolean usual = new AtomicBoolean(true);
    AtomicBoolean burst = new AtomicBoolean(Lab.trouble());
    AtomicInteger[] counts = {new AtomicInteger(), new AtomicInteger()};
    for (int c = 0; c < USUAL_CLIENTS; c++) {
      int client = c;
      PlainReplica.daemon(() -> upload(lab, node, "u" + client, usual, counts));
    }
    Lab.sleep(8000);
    List<Socket> kept = new ArrayList<>();
    for (int k = 0; k < KEPT; k++) {
      Socket socket = Client.connect(node.front);
      kept.add(socket);
      String status = tryGet(socket, "k" + k + "-first");
      if (!status.equals("200")) {
        lab.fail("before the burst: " + status);
      }
    }
    lab.log("usual: %d bodies answered with 200, %d not", counts[0].get(), counts[1].get());
    if (counts[0].get() < USUAL_CLIENTS) {
      lab.fail("the usual traffic is not served");
    }
    if (Lab.trouble()) {
      int more = (int) Math.round(USUAL_CLIENTS * (BURST - 1));
      lab.log("burst: %d more clients", more);
      for (int c = 0; c < more; c++) {
        int client = c;
        PlainReplica.daemon(() -> upload(lab, node, "b" + client, burst, counts));
      }
    }
    Lab.sleep(BURST_MS);
    burst.set(false);
    lab.log("end of the burst");
    Lab.sleep(CHOKED_MS + CONTACT_MS);
    lab.log("%d requests on channels that rested since before the burst", KEPT);
    AtomicInteger late = new AtomicInteger();
    AtomicInteger never = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int k = 0; k < KEPT; k++) {
      Socket socket = kept.get(k);
      String id = "k" + k + "-second";
      Thread thread = new Thread(() -> judge(lab, socket, id, late, never));
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    lab.log(
        "CONFIG: %d of %d requests had no answer at their route's timeout, %d of these none half a"
            + " second later",
        late.get(), KEPT, never.get());
    usual.set(false);
    Lab.sleep(15_000);
    lab.log(
        "15 s later, without any traffic: the process is alive: %s, it answers /ready: %s",
        node.process.isAlive(), node.isReady());
    lab.end(late.get() >= 8 && never.get() * 2 > late.get() ? 1 : 0);
  }

  /** Sends a GET; returns the status of its answer, or what went wrong. */
  private static String tryGet(Socket socket, String id) {
    try {
      return get(socket, id, 4000);
    } catch (IOException e) {
      return e.toString();
    }
  }

  private static String get(Socket socket, String id, int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    socket.getOutputStream().write(Client.get("/lookup/x", id, "key-ward", 4000));
    // Each answer is read whole, so nothing stays in the buffer.
    InputStream in = new BufferedInputStream(socket.getInputStream());
    Http answer = Http.readHead(in);
    if (answer == null) {
      return "closed";
    }
    answer.readBody(in, true);
    return Integer.toString(answer.status());
  }

  private static void judge(
      Lab lab, Socket socket, String id, AtomicInteger late, AtomicInteger never) {
    long sentAt = System.nanoTime();
    String result;
    try {
      result = get(socket, id, TIMEOUT_MS + GRACE_MS + 100);
    } catch (SocketTimeoutException e) {
      result = "no answer";
    } catch (IOException e) {
      result = e.toString();
    }
    long millis = (System.nanoTime() - sentAt) / 1_000_000;
    lab.log("client: %s: %s after %d ms", id, result, millis);
    if (millis > TIMEOUT_MS) {
      late.incrementAndGet();
    }
    if (millis > TIMEOUT_MS + GRACE_MS) {
      never.incrementAndGet();
    }
  }

  /** Sends bodies one after the other, each on a channel of its own. */
  private static void upload(
      Lab lab, Lab.Node node, String client, AtomicBoolean goesOn, AtomicInteger[] counts) {
    byte[] part = new byte[16_384];
    for (int n = 0; goesOn.get(); n++) {
      String id = client + "-" + n;
      String result;
      try (Socket socket = Client.connect(node.front)) {
        socket.setSoTimeout(15_000);
        OutputStream out = socket.getOutputStream();
        out.write(
            ("POST /file/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\n"
                    + "Authorization: Token key-ward\r\nContent-Length: %d\r\n\r\n")
                .formatted(id, BODY_BYTES)
                .getBytes(ISO_8859_1));
        for (int sent = 0; sent < BODY_BYTES; sent += part.length) {
          out.write(part, 0, Math.min(part.length, BODY_BYTES - sent));
        }
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Http answer = Http.readHead(in);
        result = answer == null ? "closed" : Integer.toString(answer.status());
      } catch (IOException e) {
        result = e.toString();
      }
      counts[result.equals("200") ? 0 : 1].incrementAndGet();
      lab.log("client: %s: %s", id, result);
      Lab.sleep(200);
    }
  }
}
