package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the node's processes by the deploy file, and writes the record of a case. */
final class Lab {
  /** Below the 120 seconds that a case may take; a case that is late could not run. */
  private static final long DEADLINE_MS = Long.getLong("review.deadlineMs", 100_000);

  private static final long START = System.nanoTime();
  private static final List<Process> PROCESSES = new ArrayList<>();

  private final Path root = Path.of("").toAbsolutePath();
  private final Path folder;
  private final PrintWriter record;

  Lab(String caseFolder) throws IOException {
    folder = Files.createTempDirectory("review");
    record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
    Thread.currentThread()
        .setUncaughtExceptionHandler((thread, failure) -> fail("the case itself failed: " + failure));
    Thread deadline =
        new Thread(
            () -> {
              sleep(DEADLINE_MS);
              fail("the case took too long");
            });
    deadline.setDaemon(true);
    deadline.start();
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> PROCESSES.forEach(Process::destroyForcibly)));
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static double seconds() {
    return (System.nanoTime() - START) / 1e9;
  }

  synchronized void log(String format, Object... values) {
    record.printf(Locale.ROOT, "%8.3f ", seconds());
    record.printf(Locale.ROOT, format + "%n", values);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  Path folder() {
    return folder;
  }

  /** A process of the role that carries the traffic. */
  final class Node {
    final String name;
    final String zone;
    final int front;
    final int ready;
    final int metrics;
    final int peers;
    final int store;
    volatile Process process;

    Node(String name, String zone, int store) throws IOException {
      this.name = name;
      this.zone = zone;
      this.store = store;
      front = freePort();
      ready = freePort();
      metrics = freePort();
      peers = freePort();
    }

    void start() throws IOException {
      String settings = Files.readString(root.resolve("deploy/vaneworks.yaml"));
      settings = settings.replace("\"{{ip}}:9464\"", "\"127.0.0.1:" + metrics + "\"");
      settings = settings.replace("{{ip}}:{{portRange.0}}", "127.0.0.1:" + peers);
      settings = settings.replace("{{node}}", name).replace("{{zone}}", zone);
      settings = settings.replace("{{listen.front}}", "127.0.0.1:" + front);
      settings = settings.replace("{{listen.ready}}", "127.0.0.1:" + ready);
      settings = settings.replace("{{provider.addr}}", "127.0.0.1:" + store);
      settings = settings.replace("{{bounds.revokeMs}}", "5000");
      settings = settings.replace("{{bounds.graceS}}", "8");
      settings = settings.replace("{{bounds.retryRatio}}", "0.2");
      settings = settings.replace("{{bounds.retryExtra}}", "200");
      if (settings.contains("{{")) {
        throw new IOException("settings with a gap: " + settings);
      }
      Path file = folder.resolve(name + ".yaml");
      Files.writeString(file, settings);
      ProcessBuilder builder = new ProcessBuilder(command()).directory(root.toFile());
      builder.environment().keySet().removeIf(key -> key.startsWith("JAVA_TOOL"));
      builder.environment().put("VANEWORKS_NODE_FILE", file.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      process = builder.start();
      PROCESSES.add(process);
      log("node %s started, pid %d", name, process.pid());
    }

    boolean isReady() {
      try {
        HttpURLConnection call =
            (HttpURLConnection)
                URI.create("http://127.0.0.1:" + ready + "/ready").toURL().openConnection();
        call.setConnectTimeout(500);
        call.setReadTimeout(1000);
        return call.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Waits until the node accepts channels of clients, which it does before it is ready. */
    void awaitListening() {
      for (int i = 0; i < 600; i++) {
        try (Socket socket = Client.connect(front)) {
          log("node %s listens at %d", name, socket.getPort());
          return;
        } catch (IOException e) {
          sleep(20);
        }
      }
      fail("node " + name + " does not listen, log in " + folder);
    }

    void awaitReady() {
      for (int i = 0; i < 300; i++) {
        if (isReady()) {
          log("node %s ready", name);
          return;
        }
        sleep(100);
      }
      fail("node " + name + " did not become ready, log in " + folder);
    }

    void signal(String signal) throws IOException {
      log("node %s: SIG%s", name, signal);
      try {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    Path logFile() {
      return folder.resolve(name + ".log");
    }
  }

  /** Returns the command of the role in the deploy file. */
  private List<String> command() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run");
    }
    return List.of(run.group(1).split(" "));
  }

  private void deleteFolder() {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
      for (Path file : files) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException e) {
      log("not deleted: %s", e);
    }
  }

  /** Ends a case that could not run. */
  void fail(String why) {
    log("COULD NOT RUN: %s", why);
    System.err.println(why);
    end(2);
  }

  void end(int code) {
    PROCESSES.forEach(Process::destroyForcibly);
    if (code == 0) {
      deleteFolder();
    } else {
      log("logs of the nodes: %s", folder);
    }
    record.flush();
    System.out.println(code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run");
    System.exit(code);
  }
}
