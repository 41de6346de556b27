package review;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's metadata store: linearizable, without faults of its own. */
final class Store {
  private static final int HISTORY = 10_000;

  private record Item(String value, long rev, long made, long lease) {}

  private record Change(String key, Item item, long rev) {}

  private record Lease(long ttlMs, long endsAt) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final HttpServer server;
  private long rev = 1;
  private long nextLease = 1;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
    Thread expiry =
        new Thread(
            () -> {
              while (true) {
                expire();
                Lab.sleep(50);
              }
            });
    expiry.setDaemon(true);
    expiry.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Writes an item as the operator or a replica does. Returns the revision. */
  synchronized long put(String key, String value) {
    return put(key, value, 0);
  }

  private long put(String key, String value, long lease) {
    rev++;
    Item before = items.get(key);
    Item item = new Item(value, rev, before == null ? rev : before.made(), lease);
    items.put(key, item);
    record(new Change(key, item, rev));
    return rev;
  }

  synchronized void remove(String key) {
    if (items.remove(key) != null) {
      rev++;
      record(new Change(key, null, rev));
    }
  }

  private void record(Change change) {
    history.add(change);
    if (history.size() > HISTORY) {
      history.remove(0);
    }
    notifyAll();
  }

  private synchronized void expire() {
    long now = System.nanoTime();
    List<Long> ended = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (lease.endsAt() - now < 0) {
            ended.add(id);
          }
        });
    ended.forEach(this::end);
  }

  private void end(long lease) {
    leases.remove(lease);
    List<String> keys = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.lease() == lease) {
            keys.add(key);
          }
        });
    keys.forEach(this::remove);
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
      String path = exchange.getRequestURI().getPath();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      String answer;
      if (path.equals("/kv-range")) {
        answer = range(query.get("pathPrefix"), query.getOrDefault("sinceRev", ""));
      } else if (path.equals("/kv-watch")) {
        answer =
            watch(
                query.get("pathPrefix"),
                Long.parseLong(query.get("sinceRev")),
                Long.parseLong(query.get("waitMs")));
      } else if (path.equals("/kv-txn")) {
        answer = transact(Json.object(body));
      } else if (path.equals("/kv-lease")) {
        answer = open(((Double) Json.object(body).get("ttl_ms")).longValue());
      } else if (path.startsWith("/kv-keep/")) {
        answer = keep(Long.parseLong(path.substring("/kv-keep/".length())));
      } else if (path.startsWith("/kv-lease-end/")) {
        synchronized (this) {
          end(Long.parseLong(path.substring("/kv-lease-end/".length())));
        }
        answer = "200 {}";
      } else if (path.equals("/kv-key")) {
        answer = key(query.get("key"));
      } else {
        answer = "404 {}";
      }
      int status = Integer.parseInt(answer.substring(0, 3));
      byte[] bytes = answer.substring(4).getBytes(UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (RuntimeException e) {
      e.printStackTrace();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), UTF_8));
      }
    }
    return query;
  }

  private static String json(String key, Item item) {
    String value = Base64.getEncoder().encodeToString(item.value().getBytes(UTF_8));
    return "{\"key\":%s,\"value\":\"%s\",\"rev\":%d,\"made\":%d,\"lease\":%d}"
        .formatted(Json.quote(key), value, item.rev(), item.made(), item.lease());
  }

  private synchronized String key(String key) {
    Item item = items.get(key);
    return item == null ? "404 {}" : "200 " + json(key, item);
  }

  private synchronized String range(String prefix, String after) {
    List<String> found = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (key.startsWith(prefix) && key.compareTo(after) > 0) {
            found.add(json(key, item));
          }
        });
    return "200 {\"items\":[%s],\"more\":false,\"at\":%d}".formatted(String.join(",", found), rev);
  }

  private synchronized String watch(String prefix, long since, long waitMs) {
    long until = System.nanoTime() + waitMs * 1_000_000;
    while (true) {
      if (!history.isEmpty() && history.get(0).rev() > since + 1 && history.size() >= HISTORY) {
        return "410 {}";
      }
      List<String> found = new ArrayList<>();
      for (Change change : history) {
        if (change.rev() > since && change.key().startsWith(prefix)) {
          found.add(
              change.item() == null
                  ? "{\"key\":%s,\"rev\":%d,\"gone\":true}"
                      .formatted(Json.quote(change.key()), change.rev())
                  : json(change.key(), change.item()));
        }
      }
      long left = (until - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || left <= 0) {
        return "200 {\"events\":[%s],\"at\":%d}".formatted(String.join(",", found), rev);
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  @SuppressWarnings("unchecked")
  private synchronized String transact(Map<String, Object> body) {
    List<Object> none = List.of();
    for (Object row : (List<Object>) body.getOrDefault("expectRev", none)) {
      Map<String, Object> expected = (Map<String, Object>) row;
      Item item = items.get((String) expected.get("key"));
      long present = item == null ? 0 : item.rev();
      if (present != ((Double) expected.get("rev")).longValue()) {
        return "412 {\"items\":[]}";
      }
    }
    for (Object row : (List<Object>) body.getOrDefault("put", none)) {
      Map<String, Object> put = (Map<String, Object>) row;
      String key = (String) put.get("key");
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        return "403 {}";
      }
      long lease = put.get("lease") instanceof Double number ? number.longValue() : 0;
      if (lease != 0 && !leases.containsKey(lease)) {
        return "404 {}";
      }
    }
    for (Object row : (List<Object>) body.getOrDefault("put", none)) {
      Map<String, Object> put = (Map<String, Object>) row;
      long lease = put.get("lease") instanceof Double number ? number.longValue() : 0;
      String value = new String(Base64.getDecoder().decode((String) put.get("value")), UTF_8);
      put((String) put.get("key"), value, lease);
    }
    for (Object key : (List<Object>) body.getOrDefault("delete", none)) {
      remove((String) key);
    }
    return "200 {\"rev\":" + rev + "}";
  }

  private synchronized String open(long ttlMs) {
    long id = nextLease++;
    leases.put(id, new Lease(ttlMs, System.nanoTime() + ttlMs * 1_000_000));
    return "200 {\"lease\":%d,\"ttl_ms\":%d}".formatted(id, ttlMs);
  }

  private synchronized String keep(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return "404 {}";
    }
    leases.put(id, new Lease(lease.ttlMs(), System.nanoTime() + lease.ttlMs() * 1_000_000));
    return "200 {\"lease\":%d,\"ttl_ms\":%d}".formatted(id, lease.ttlMs());
  }
}
