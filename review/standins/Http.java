package review;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message, read from a stream. */
final class Http {
  final String startLine;
  final Map<String, String> headers;
  byte[] body;

  /** Whether the body's end was marked, rather than implied by the end of the channel. */
  boolean framed;

  private Http(String startLine, Map<String, String> headers) {
    this.startLine = startLine;
    this.headers = headers;
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  /** Reads a head; returns null if the channel ends before it. */
  static Http readHead(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    while (true) {
      String line = line(in);
      if (line == null) {
        throw new EOFException("in the head");
      }
      if (line.isEmpty()) {
        return new Http(start, headers);
      }
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
    }
  }

  /** Reads a body up to its end. */
  void readBody(InputStream in, boolean isAnswer) throws IOException {
    framed = true;
    if (header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        byte[] chunk = readChunk(in);
        if (chunk.length == 0) {
          break;
        }
        all.write(chunk);
      }
      body = all.toByteArray();
    } else if (headers.containsKey("Content-Length")) {
      int length = Integer.parseInt(header("Content-Length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("in the body");
      }
    } else if (isAnswer) {
      framed = false;
      body = in.readAllBytes();
    } else {
      body = new byte[0];
    }
  }

  /** Reads one chunk; an empty one is the last. */
  static byte[] readChunk(InputStream in) throws IOException {
    String size = line(in);
    if (size == null) {
      throw new EOFException("before a chunk");
    }
    int length = Integer.parseInt(size.split(";")[0].strip(), 16);
    byte[] chunk = in.readNBytes(length);
    if (chunk.length < length) {
      throw new EOFException("in a chunk");
    }
    String end = line(in);
    if (end == null) {
      throw new EOFException("after a chunk");
    }
    return chunk;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    while (true) {
      int b = in.read();
      if (b < 0) {
        if (out.size() == 0) {
          return null;
        }
        throw new EOFException("in a line");
      }
      if (b == '\n') {
        String line = out.toString(ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
      }
      out.write(b);
    }
  }
}
