import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store, as PROTOCOL.md describes it; keeps 20 s of history. */
final class KeyStore2 {
  private static final long HISTORY_NANOS = 20_000_000_000L;
  private static final Pattern PUT =
      Pattern.compile(
          "\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}");
  private static final Pattern EXPECT = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"rev\":(\\d+)\\}");
  private static final Pattern DELETE = Pattern.compile("\"delete\":\\[([^\\]]*)\\]");

  private record Item(String value, long rev, long made, long lease) {
    String json(String key) {
      return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"rev\":" + rev + ",\"made\":"
          + made + ",\"lease\":" + lease + "}";
    }
  }

  private record Change(long rev, String key, String json, long at) {}

  private record Lease(long ttlMs, long until) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 10;
  private long historyFrom = 10;
  private long nextLease = 70_000;
  private volatile long silentBefore = Long.MIN_VALUE;
  private volatile boolean away;
  private long era = 1;
  private TreeMap<String, Item> copiedItems = new TreeMap<>();
  private Map<Long, Lease> copiedLeases = new HashMap<>();
  private long copiedRevision;
  final ServerSocket socket;

  KeyStore2() throws Exception {
    socket = Web.serve("127.0.0.1", 0, this::handle);
    Web.daemon(
        () -> {
          while (true) {
            Thread.sleep(50);
            expire();
          }
        });
  }

  int port() {
    return socket.getLocalPort();
  }

  /** Writes an item as the operator or a replica does; returns the revision of the change. */
  synchronized long put(String key, String value) {
    return put(
        key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
  }

  synchronized void remove(String key) {
    if (!away && items.remove(key) != null) {
      revision++;
      record(key, "{\"key\":\"" + key + "\",\"rev\":" + revision + ",\"gone\":true}");
    }
  }

  private long put(String key, String value, long lease) {
    revision++;
    Item before = items.get(key);
    Item item = new Item(value, revision, before == null ? revision : before.made(), lease);
    items.put(key, item);
    record(key, item.json(key));
    return revision;
  }

  private void record(String key, String json) {
    changes.add(new Change(revision, key, json, System.nanoTime()));
    notifyAll();
  }

  private void forget() {
    while (!changes.isEmpty() && System.nanoTime() - changes.peek().at() > HISTORY_NANOS) {
      historyFrom = changes.poll().rev();
    }
  }

  private synchronized void expire() {
    forget();
    long now = System.nanoTime();
    leases.entrySet().removeIf(
        entry -> {
          boolean over = entry.getValue().until() < now;
          if (over) {
            removeOf(entry.getKey());
          }
          return over;
        });
  }

  private void removeOf(long lease) {
    for (String key : java.util.List.copyOf(items.keySet())) {
      if (items.get(key).lease() == lease) {
        remove(key);
      }
    }
  }

  private Map<String, String> headers() {
    return Map.of("Content-Type", "application/json", "Store-Era", String.valueOf(era));
  }

  /** Takes the copy from which a drill brings the store back. */
  synchronized void copy() {
    copiedItems = new TreeMap<>(items);
    copiedLeases = new HashMap<>(leases);
    copiedRevision = revision;
  }

  /** The store is away: calls get 503, and waiting watches are cut. */
  synchronized void goAway() {
    away = true;
    notifyAll();
  }

  /** The store is back from its copy; its leases run anew. */
  synchronized void returnFromCopy() {
    items.clear();
    items.putAll(copiedItems);
    leases.clear();
    copiedLeases.forEach(
        (id, lease) ->
            leases.put(
                id, new Lease(lease.ttlMs(), System.nanoTime() + lease.ttlMs() * 1_000_000)));
    revision = copiedRevision;
    historyFrom = revision;
    changes.clear();
    era++;
    away = false;
  }

  /** Open channels go silent for good, without a reset, while new ones work. */
  void silenceOpenChannels() {
    silentBefore = System.nanoTime();
  }

  /** Returns whether a channel was open when those went silent. */
  private boolean isSilent(Web.Exchange exchange) {
    return exchange.openedAt < silentBefore;
  }

  private void handle(Web.Request request, Web.Exchange exchange) throws Exception {
    Thread.sleep(4);
    if (isSilent(exchange)) {
      return;
    }
    String path = request.path();
    if (away) {
      exchange.answer(503, headers(), "{}");
      return;
    }
    if (path.equals("/kv-watch")) {
      watch(request, exchange);
      return;
    }
    StringBuilder body = new StringBuilder();
    int status;
    synchronized (this) {
      status = answer(request, path, body);
    }
    exchange.answer(status, headers(), body.toString());
  }

  private int answer(Web.Request request, String path, StringBuilder body) {
    if (path.equals("/kv-range")) {
      return range(request.parameter("pathPrefix"), request.parameter("sinceRev"), body);
    }
    if (path.equals("/kv-key")) {
      Item item = items.get(request.parameter("key"));
      body.append(item == null ? "{\"at\":" + revision + "}" : item.json(request.parameter("key")));
      return item == null ? 404 : 200;
    }
    if (path.equals("/kv-txn")) {
      return transaction(new String(request.body(), StandardCharsets.UTF_8), body);
    }
    if (path.equals("/kv-lease")) {
      String text = new String(request.body(), StandardCharsets.UTF_8);
      long ttl = Math.max(1000, Long.parseLong(text.replaceAll("\\D", "")));
      leases.put(++nextLease, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
      body.append("{\"lease\":" + nextLease + ",\"ttl_ms\":" + ttl + "}");
      return 200;
    }
    long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    Lease held = leases.get(lease);
    if (held == null) {
      body.append("{}");
      return 404;
    }
    if (path.startsWith("/kv-keep/")) {
      leases.put(lease, new Lease(held.ttlMs(), System.nanoTime() + held.ttlMs() * 1_000_000));
      body.append("{\"ttl_ms\":" + held.ttlMs() + "}");
    } else {
      leases.remove(lease);
      removeOf(lease);
      body.append("{}");
    }
    return 200;
  }

  private int range(String prefix, String after, StringBuilder body) {
    body.append("{\"items\":[");
    int count = 0;
    boolean more = false;
    for (Map.Entry<String, Item> entry : items.tailMap(after, false).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        continue;
      }
      if (count >= 500 || body.length() > 1_000_000) {
        more = true;
        break;
      }
      body.append(count++ == 0 ? "" : ",").append(entry.getValue().json(entry.getKey()));
    }
    body.append("],\"more\":" + more + ",\"at\":" + revision + "}");
    return 200;
  }

  private int transaction(String text, StringBuilder body) {
    String expected = text.substring(0, Math.max(0, text.indexOf("\"put\"")));
    Matcher expect = EXPECT.matcher(expected);
    while (expect.find()) {
      Item item = items.get(expect.group(1));
      if ((item == null ? 0 : item.rev()) != Long.parseLong(expect.group(2))) {
        body.append("{\"items\":[");
        body.append(item == null ? "" : item.json(expect.group(1))).append("]}");
        return 412;
      }
    }
    Matcher put = PUT.matcher(text);
    while (put.find()) {
      long lease = Long.parseLong(put.group(3));
      if (lease != 0 && !leases.containsKey(lease)) {
        body.append("{}");
        return 404;
      }
    }
    put.reset();
    while (put.find()) {
      put(put.group(1), put.group(2), Long.parseLong(put.group(3)));
    }
    Matcher delete = DELETE.matcher(text);
    if (delete.find() && !delete.group(1).isBlank()) {
      for (String key : delete.group(1).split(",")) {
        remove(key.replace("\"", "").strip());
      }
    }
    body.append("{\"rev\":" + revision + "}");
    return 200;
  }

  private void watch(Web.Request request, Web.Exchange exchange) throws Exception {
    String prefix = request.parameter("pathPrefix");
    long since = Long.parseLong(request.parameter("sinceRev"));
    long until = System.nanoTime() + Long.parseLong(request.parameter("waitMs")) * 1_000_000;
    StringBuilder events = new StringBuilder();
    long at;
    synchronized (this) {
      while (true) {
        if (since < historyFrom || since > revision) {
          at = -1;
          break;
        }
        for (Change change : changes) {
          if (change.rev() > since && change.key().startsWith(prefix)) {
            events.append(events.length() == 0 ? "" : ",").append(change.json());
          }
        }
        at = revision;
        long leftMs = (until - System.nanoTime()) / 1_000_000;
        if (events.length() > 0 || leftMs <= 0 || away) {
          break;
        }
        wait(leftMs);
      }
    }
    if (isSilent(exchange)) {
      return;
    }
    if (away) {
      exchange.reset();
      return;
    }
    if (at < 0) {
      exchange.answer(410, headers(), "{}");
    } else {
      exchange.answer(200, headers(), "{\"events\":[" + events + "],\"at\":" + at + "}");
    }
  }
}
