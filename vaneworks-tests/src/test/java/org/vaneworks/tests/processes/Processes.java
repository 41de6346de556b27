package org.vaneworks.tests.processes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts and controls the processes of one scenario. {@link #close} kills them all. */
final class Processes implements AutoCloseable {
  /** Upper limit for a process that hangs; no result depends on timing. */
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private static final long POLL_INTERVAL_MILLIS = 50;

  /** Size of the log excerpt printed for each process of a failed scenario. */
  private static final int MAX_LOG_CHARACTERS = 4000;

  private final Path folder;
  private final Map<String, Process> running = new LinkedHashMap<>();

  Processes() {
    try {
      folder = Files.createTempDirectory("vaneworks");
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  Path write(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text);
  }

  void start(String name, String mainClass, String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-XX:+UseSerialGC");
    command.add("-Xmx128m");
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass);
    command.addAll(List.of(arguments));
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(logOf(name).toFile())
            .start();
    running.put(name, process);
  }

  private Path logOf(String name) {
    return folder.resolve(name + ".log");
  }

  String log(String name) throws IOException {
    return Files.readString(logOf(name));
  }

  /** Returns the last part of the output of each process. */
  String logs() throws IOException {
    StringBuilder all = new StringBuilder();
    for (String name : running.keySet()) {
      String log = log(name);
      all.append("-- ").append(name).append('\n');
      all.append(log.substring(Math.max(0, log.length() - MAX_LOG_CHARACTERS)));
    }
    return all.toString();
  }

  /**
   * Waits until the output of a process matches a pattern and returns the pattern's first group.
   */
  String awaitLine(String name, Pattern pattern) throws Exception {
    String[] match = new String[1];
    await(
        name + " to print " + pattern,
        () -> {
          Matcher matcher = pattern.matcher(log(name));
          if (matcher.find()) {
            match[0] = matcher.group(1);
          }
          return match[0] != null;
        });
    return match[0];
  }

  static void await(String what, Callable<Boolean> condition) throws Exception {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.call()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("timed out waiting for " + what);
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  void signal(String name, String signal) throws Exception {
    String pid = Long.toString(running.get(name).pid());
    Process kill = new ProcessBuilder("kill", "-" + signal, pid).start();
    if (kill.waitFor() != 0) {
      throw new AssertionError("kill -" + signal + " " + name + " failed");
    }
  }

  int exitCode(String name) throws Exception {
    Process process = running.get(name);
    if (!process.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
      throw new AssertionError(name + " did not exit");
    }
    return process.exitValue();
  }

  @Override
  public void close() {
    for (Process process : running.values()) {
      process.destroyForcibly();
    }
    for (Process process : running.values()) {
      process.onExit().join();
    }
  }
}
