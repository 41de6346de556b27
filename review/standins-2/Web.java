import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server with a thread for each connection, and a small client. */
final class Web {
  private Web() {}

  /** A request as it arrived; the names of headers are in lower case. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String parameter(String name) {
      int query = target.indexOf('?');
      if (query >= 0) {
        for (String part : target.substring(query + 1).split("&")) {
          if (part.startsWith(name + "=")) {
            return java.net.URLDecoder.decode(
                part.substring(name.length() + 1), StandardCharsets.UTF_8);
          }
        }
      }
      return "";
    }
  }

  /** One connection of a client; a handler may also answer in its own way. */
  static final class Exchange {
    final Socket socket;
    final OutputStream out;
    final long openedAt = System.nanoTime();

    Exchange(Socket socket) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
    }

    void answer(int status, Map<String, String> headers, String body) throws IOException {
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      head.append("Content-Length: " + bytes.length + "\r\n\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      all.write(bytes);
      out.write(all.toByteArray());
      out.flush();
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  interface Handler {
    void handle(Request request, Exchange exchange) throws Exception;
  }

  /** Starts a server and returns its socket. */
  static ServerSocket serve(String host, int port, Handler handler) throws IOException {
    ServerSocket listening = new ServerSocket();
    listening.setReuseAddress(true);
    listening.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
    daemon(
        () -> {
          while (!listening.isClosed()) {
            Socket socket = listening.accept();
            socket.setTcpNoDelay(true);
            daemon(() -> serve(socket, handler));
          }
        });
    return listening;
  }

  private static void serve(Socket socket, Handler handler) throws Exception {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Exchange exchange = new Exchange(socket);
      while (!socket.isClosed()) {
        Request request = readRequest(in);
        if (request == null) {
          return;
        }
        handler.handle(request, exchange);
      }
    }
  }

  /** Serves one connection, which is in a set while it is open. */
  static void serveOne(Socket socket, Handler handler, java.util.Set<Exchange> open)
      throws Exception {
    Exchange exchange = new Exchange(socket);
    open.add(exchange);
    try {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (!socket.isClosed()) {
        Request request = readRequest(in);
        if (request == null) {
          return;
        }
        handler.handle(request, exchange);
      }
    } finally {
      open.remove(exchange);
    }
  }

  interface Task {
    void run() throws Exception;
  }

  static Thread daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The connection or the run has ended.
              } catch (Exception e) {
                e.printStackTrace();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static Request readRequest(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    String[] parts = start.split(" ");
    Map<String, String> headers = readHeaders(in);
    return new Request(parts[0], parts[1], headers, readBody(in, headers, false));
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return headers;
  }

  private static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilEnd)
      throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String line = readLine(in);
        if (line == null) {
          throw new EOFException("within chunks");
        }
        int size = Integer.parseInt(line.split(";")[0].strip(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) {
          throw new EOFException("within a chunk");
        }
        all.write(chunk);
        readLine(in);
        if (size == 0) {
          return all.toByteArray();
        }
      }
    }
    if (headers.containsKey("content-length")) {
      int size = Integer.parseInt(headers.get("content-length"));
      byte[] body = in.readNBytes(size);
      if (body.length < size) {
        throw new EOFException("within a body");
      }
      return body;
    }
    return untilEnd ? in.readAllBytes() : new byte[0];
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); ; next = in.read()) {
      if (next < 0) {
        return null;
      }
      if (next == '\n') {
        return line.toString();
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
  }

  /** An answer; status 0 stands for a connection that ended without a whole one. */
  record Answer(int status, Map<String, String> headers, String body) {}

  /** Sends one request over a connection of its own. */
  static Answer call(
      String host, int port, String method, String target, String headers, String body, int limitMs)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, port), limitMs);
      socket.setSoTimeout(limitMs);
      socket.setTcpNoDelay(true);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + target + " HTTP/1.1\r\n" + headers
              + (bytes.length > 0 ? "Content-Length: " + bytes.length + "\r\n" : "") + "\r\n";
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.getBytes(StandardCharsets.ISO_8859_1));
      all.write(bytes);
      socket.getOutputStream().write(all.toByteArray());
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String start = readLine(in);
      if (start == null) {
        return new Answer(0, Map.of(), "");
      }
      Map<String, String> answered = readHeaders(in);
      int status = Integer.parseInt(start.split(" ")[1]);
      return new Answer(
          status, answered, new String(readBody(in, answered, true), StandardCharsets.UTF_8));
    } catch (IOException e) {
      return new Answer(0, Map.of(), String.valueOf(e));
    }
  }
}
