import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the record, the nodes as processes, and the ends of all of them. */
final class Bench2 implements AutoCloseable {
  static {
    // A failure of the case itself is no result; the hook ends the processes.
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, failure) -> {
          failure.printStackTrace();
          System.exit(2);
        });
  }

  /** A run takes 120 s at most. */
  private static final int LIMIT_MS = 110_000;

  private static final Pattern GAP = Pattern.compile("\\{\\{([^}]+)\\}\\}");

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final KeyStore2 store;
  final List<Node> nodes = new ArrayList<>();
  private final long startedAt = System.nanoTime();
  private final PrintWriter record;
  private final Path folder;

  Bench2() throws Exception {
    record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("record"))), true);
    folder = Files.createTempDirectory("review-2-");
    store = new KeyStore2();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    Web.daemon(
        () -> {
          Thread.sleep(LIMIT_MS);
          unable("over " + LIMIT_MS + " ms");
        });
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void say(String line) {
    record.printf("%8.3f %s%n", seconds(), line);
  }

  /** A node with the command of deploy/system.toml and the settings of deploy/vaneworks.yaml. */
  final class Node {
    final String name;
    final String host;
    final int port;
    final int ready;
    private final Path settings;
    private final List<String> command;
    Process process;

    Node(int number) throws Exception {
      Random random = new Random();
      name = "front-a-" + number;
      host = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + "." + (1 + number);
      port = freePort(host);
      ready = freePort(host);
      Map<String, String> values = new LinkedHashMap<>();
      values.put("node", name);
      values.put("zone", "buc-a");
      values.put("ip", host);
      values.put("listen.front", host + ":" + port);
      values.put("listen.ready", host + ":" + ready);
      values.put("portRange.0", String.valueOf(freePort(host)));
      values.put("provider.addr", "127.0.0.1:" + store.port());
      values.put("bounds.revokeMs", "5000");
      values.put("bounds.graceS", "8");
      values.put("bounds.retryRatio", "0.2");
      values.put("bounds.retryExtra", "200");
      values.put("bounds.retryWindowS", "10");
      Matcher gap = GAP.matcher(Files.readString(Path.of("deploy/vaneworks.yaml")));
      String text = gap.replaceAll(found -> values.get(found.group(1)));
      settings = Files.writeString(folder.resolve(name + ".yaml"), text);
      Matcher run =
          Pattern.compile("(?m)^run = \"([^\"]*)\"")
              .matcher(Files.readString(Path.of("deploy/system.toml")));
      if (!run.find()) {
        throw new IOException("deploy/system.toml has no command");
      }
      command = List.of(run.group(1).split(" "));
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("VANEWORKS_NODE_FILE", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(
              System.getenv("KEEP_LOGS") == null
                  ? folder.resolve(name + ".log").toFile()
                  : Path.of(System.getenv("KEEP_LOGS"), name + ".log").toFile()));
      process = builder.start();
      String pids = System.getProperty("pids");
      if (pids != null) {
        Files.writeString(
            Path.of(pids),
            process.pid() + "\n",
            java.nio.file.StandardOpenOption.CREATE,
            java.nio.file.StandardOpenOption.APPEND);
      }
      say("node " + name + " started, process " + process.pid());
      Process started = process;
      started.onExit().thenAccept(
          ended -> say("node " + name + " ended with code " + ended.exitValue()));
    }

    void signal(String signal) throws Exception {
      new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
          .inheritIO()
          .start()
          .waitFor();
      say("node " + name + " got SIG" + signal);
    }

    boolean isReady() throws IOException {
      return Web.call(host, ready, "GET", "/ready", "Host: n\r\n", "", 900).status() == 200;
    }
  }

  Node startNode() throws Exception {
    Node node = new Node(nodes.size() + 1);
    nodes.add(node);
    node.start();
    return node;
  }

  /** Waits until all nodes say that they are ready. */
  void awaitReady() throws Exception {
    for (Node node : nodes) {
      for (int i = 0; !node.isReady(); i++) {
        if (i > 150) {
          unable("node " + node.name + " is not ready");
        }
        Thread.sleep(200);
      }
    }
  }

  static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    }
  }

  /** Ends the run as one that could not take place. */
  void unable(String why) {
    say("could not run: " + why);
    System.out.println("could not run: " + why);
    close();
    Runtime.getRuntime().halt(2);
  }

  /** Ends the run with its result. */
  void finish(boolean broken, String why) {
    String line = (broken ? "BROKEN: " : "held: ") + why;
    say(line);
    System.out.println(line);
    close();
    Runtime.getRuntime().halt(broken ? 1 : 0);
  }

  @Override
  public void close() {
    for (Node node : nodes) {
      if (node.process != null) {
        node.process.destroyForcibly();
        try {
          node.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    try (var files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // Removed before.
    }
    record.flush();
  }
}
