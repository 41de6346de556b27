package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.CharMatcher;
import io.servicetalk.transport.api.IoExecutor;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntConsumer;
import org.vaneworks.daemon.logging.ErrorDetector;
import org.vaneworks.telemetry.Event;

/**
 * Ends the process when the thread of its event loop has ended, or when an {@link Error} such as
 * {@link OutOfMemoryError} was thrown on it.
 *
 * <p>A process without its event loop accepts connections and answers nothing; after an error,
 * state may be incomplete. The platform restarts a process that has ended. Memory may be short by
 * then, so whatever is needed is created before.
 */
public final class EventLoopGuard {
  /** Exit code of the process; 1 and 2 have other meanings. */
  public static final int EXIT_CODE = 3;

  /** The cause of the failure if no error was detected before the thread ended. */
  private static final class ThreadEndedException extends Exception {
    private static final long serialVersionUID = 1;

    ThreadEndedException() {
      super("the thread has ended", null, false, false);
    }
  }

  private static final String LINE_START =
      "{\"level\":\"ERROR\",\"event\":\""
          + Event.EVENT_LOOP_FAILED.code()
          + "\",\"text\":\""
          + Event.EVENT_LOOP_FAILED.text()
          + "\"";

  private static final byte[] PLAIN_LINE = (LINE_START + "}\n").getBytes(UTF_8);

  /** Characters that a JSON string must escape. */
  private static final CharMatcher ESCAPED =
      CharMatcher.javaIsoControl().or(CharMatcher.anyOf("\"\\"));

  private final IntConsumer exit;
  private final OutputStream out;
  private final CountDownLatch failed = new CountDownLatch(1);
  private volatile Throwable failure = new ThreadEndedException();

  private EventLoopGuard(OutputStream out, IntConsumer exit) {
    this.out = checkNotNull(out);
    this.exit = checkNotNull(exit);
  }

  /**
   * Starts to watch an event loop with one thread.
   *
   * @param out receives the log line; must not buffer it
   * @param exit ends the process with an exit code; called once, on a thread of its own
   */
  public static void start(IoExecutor io, OutputStream out, IntConsumer exit) throws Exception {
    EventLoopGuard guard = new EventLoopGuard(out, exit);
    Thread loop = io.submit(Thread::currentThread).toFuture().get();
    loop.setUncaughtExceptionHandler((thread, error) -> guard.fail(error));
    ErrorDetector.install(loop, guard::fail);
    startDaemon("event-loop-end", () -> guard.awaitEnd(loop));
    startDaemon("event-loop-guard", guard::awaitFailure);
  }

  private static void startDaemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void awaitEnd(Thread loop) {
    try {
      loop.join();
      failed.countDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void fail(Throwable error) {
    failure = error;
    failed.countDown();
  }

  private void awaitFailure() {
    try {
      failed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    log();
    exit.accept(EXIT_CODE);
  }

  /** Writes the line itself, as the thread of the log may have ended for lack of memory too. */
  private void log() {
    byte[] line = PLAIN_LINE;
    try {
      String cause = ESCAPED.replaceFrom(failure.toString(), ' ');
      line =
          (LINE_START + ",\"time\":\"" + Instant.now() + "\",\"cause\":\"" + cause + "\"}\n")
              .getBytes(UTF_8);
    } catch (OutOfMemoryError e) {
      // The line without a cause is written.
    }
    try {
      out.write(line);
      out.flush();
    } catch (IOException e) {
      // There is no other output.
    }
  }
}
