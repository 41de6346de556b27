package review;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Sends requests as a client of the pages does. */
final class Client {
  private Client() {}

  /** Opens a channel to a node, with the second that a new channel is given to come up. */
  static Socket connect(int port) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
    return socket;
  }

  /** Returns a GET of a route on the host of the stand-ins. */
  static byte[] get(String path, String id, String key, int deadlineMs) {
    return ("GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
            + "Authorization: Token %s\r\n\r\n")
        .formatted(path, id, deadlineMs, key)
        .getBytes(ISO_8859_1);
  }

  /** Sends one GET on a channel of its own; returns the status, or what went wrong. */
  static String ask(int port, String path, String id, String key) {
    try (Socket socket = connect(port)) {
      socket.setSoTimeout(4000);
      socket.getOutputStream().write(get(path, id, key, 4000));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http answer = Http.readHead(in);
      if (answer == null) {
        return "closed";
      }
      answer.readBody(in, true);
      return Integer.toString(answer.status());
    } catch (IOException e) {
      return e.toString();
    }
  }
}
