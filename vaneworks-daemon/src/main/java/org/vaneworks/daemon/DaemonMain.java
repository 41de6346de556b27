package org.vaneworks.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** The {@code vaneworksd} command, which runs one node until SIGTERM. */
@Command(
    name = "vaneworksd",
    description = "Runs one vaneworks node until SIGTERM.",
    mixinStandardHelpOptions = true,
    version = "vaneworksd 0.1.0",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:stopped with nothing cut",
      "1:stopped, and requests in flight were cut",
      "2:the settings or the command line were not accepted"
    })
public final class DaemonMain implements Callable<Integer> {
  private static final int OK = 0;
  private static final int REQUESTS_CUT = 1;
  private static final int SETTINGS_REJECTED = 2;

  @Option(names = "--settings", required = true, description = "YAML file; see docs/SETTINGS.md.")
  private Path file;

  @Option(names = "--check", description = "Only check the settings.")
  private boolean check;

  private DaemonMain() {}

  /** Runs the command. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new DaemonMain()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    DaemonSettings settings;
    try {
      settings = DaemonSettings.read(file);
    } catch (IOException | IllegalArgumentException e) {
      System.err.println("vaneworksd: " + file + ": " + e.getMessage());
      return SETTINGS_REJECTED;
    }
    if (check) {
      System.out.println(file + ": accepted");
      return OK;
    }
    return runUntilStopped(settings);
  }

  /**
   * Reads the settings file again and logs each field that differs. A running daemon applies no
   * change; every field needs a restart.
   */
  private void checkForChanges(DaemonSettings current) {
    try {
      DaemonSettings next = DaemonSettings.read(file);
      for (String field : current.changedFields(next)) {
        EventLog.warn(Event.SETTING_NEEDS_RESTART, "field", field);
      }
      EventLog.info(Event.SETTINGS_READ_AGAIN, "file", file);
    } catch (IOException | IllegalArgumentException e) {
      EventLog.warn(Event.SETTINGS_NOT_ACCEPTED, "file", file, "cause", e.getMessage());
    }
  }

  /**
   * Starts a daemon and waits until it has stopped. Signals are handled before the sockets listen:
   * by default they end the process, with the requests that have arrived by then.
   */
  private int runUntilStopped(DaemonSettings settings) throws Exception {
    Signal.handle(new Signal("HUP"), signal -> checkForChanges(settings));
    CompletableFuture<Daemon> started = new CompletableFuture<>();
    CountDownLatch stopped = new CountDownLatch(1);
    AtomicInteger cutRequests = new AtomicInteger();
    AtomicInteger termSignals = new AtomicInteger();
    Signal.handle(
        new Signal("TERM"),
        signal -> {
          if (termSignals.incrementAndGet() > 1) {
            cutRequests.set(started.isDone() ? started.join().node().inFlight() : 0);
            EventLog.warn(Event.STOP_CUT, "cut", cutRequests.get(), "cause", "second signal");
            stopped.countDown();
            return;
          }
          var unused =
              started
                  .thenCompose(Daemon::stop)
                  .whenComplete(
                      (count, failure) -> {
                        cutRequests.set(failure == null ? count : 1);
                        stopped.countDown();
                      });
        });
    started.complete(Daemon.start(settings));
    stopped.await();
    return cutRequests.get() == 0 ? OK : REQUESTS_CUT;
  }
}
