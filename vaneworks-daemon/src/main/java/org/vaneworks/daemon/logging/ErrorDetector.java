package org.vaneworks.daemon.logging;

import static com.google.common.base.Preconditions.checkNotNull;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxy;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import java.util.function.Consumer;
import org.slf4j.ILoggerFactory;
import org.slf4j.LoggerFactory;

/**
 * Detects {@link Error}s that a thread logs, such as {@link OutOfMemoryError}.
 *
 * <p>Netty and ServiceTalk catch most of what handlers throw on an event loop, and only log it.
 */
public final class ErrorDetector extends UnsynchronizedAppenderBase<ILoggingEvent> {
  /** Bounds the search in chains of causes, which may be circular. */
  private static final int MAX_CAUSES = 20;

  private final Thread thread;
  private final Consumer<Error> onError;

  private ErrorDetector(Thread thread, Consumer<Error> onError) {
    this.thread = checkNotNull(thread);
    this.onError = checkNotNull(onError);
  }

  /**
   * Adds a detector to the log of this process, if Logback writes it.
   *
   * @param thread the thread whose errors are detected
   * @param onError called on that thread for each error
   */
  public static void install(Thread thread, Consumer<Error> onError) {
    ILoggerFactory factory = LoggerFactory.getILoggerFactory();
    if (factory.getLogger(Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
      ErrorDetector detector = new ErrorDetector(thread, onError);
      detector.setContext(root.getLoggerContext());
      detector.setName("errors");
      detector.start();
      root.addAppender(detector);
    }
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (Thread.currentThread() == thread && event.getThrowableProxy() instanceof ThrowableProxy p) {
      Throwable cause = p.getThrowable();
      for (int i = 0; cause != null && i < MAX_CAUSES; i++) {
        if (cause instanceof Error error) {
          onError.accept(error);
          return;
        }
        cause = cause.getCause();
      }
    }
  }
}
