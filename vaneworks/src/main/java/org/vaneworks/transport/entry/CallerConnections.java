package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.annotations.VisibleForTesting;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/** The set of open caller connections. Confined to the node's event loop. */
public final class CallerConnections {
  private static final Duration LINGER_TIMEOUT = Duration.ofSeconds(1);

  private final Set<CallerConnection> open = new HashSet<>();
  private final Supplier<Duration> lingerTimeout;

  private CallerConnections(Supplier<Duration> lingerTimeout) {
    this.lingerTimeout = checkNotNull(lingerTimeout);
  }

  /** Returns an empty set of connections. */
  public static CallerConnections create() {
    return create(() -> LINGER_TIMEOUT);
  }

  /** Returns an empty set of connections with another {@link #lingerTimeout}. */
  @VisibleForTesting
  static CallerConnections create(Supplier<Duration> lingerTimeout) {
    return new CallerConnections(lingerTimeout);
  }

  /** Returns the maximum time between the shutdown of a connection's output and its close. */
  Duration lingerTimeout() {
    return lingerTimeout.get();
  }

  void opened(CallerConnection connection) {
    open.add(connection);
  }

  void closed(CallerConnection connection) {
    open.remove(connection);
  }

  /**
   * Closes the connections without a request or response in progress, once their callers have
   * received the previous response or {@link CallerConnection} stops waiting for them. A request
   * that has arrived is read first; for that, this must be called by a task of the event loop.
   */
  public void closeIdle() {
    ImmutableList.copyOf(open).forEach(CallerConnection::closeIfIdle);
  }

  /**
   * Closes the connections that {@link #closeIdle} closes, but those on which a head has begun.
   *
   * @see #closeIdle
   */
  public void closeBetweenRequests() {
    ImmutableList.copyOf(open).forEach(CallerConnection::closeBetweenRequests);
  }

  /** Closes all connections without waiting for their callers, as the process is about to end. */
  public void closeNow() {
    ImmutableList.copyOf(open).forEach(CallerConnection::closeForExit);
  }

  /** Returns whether no connection is open. */
  public boolean isEmpty() {
    return open.isEmpty();
  }

  /** Returns the number of bytes that were written for callers who have not read them yet. */
  public long unwrittenBytes() {
    long bytes = 0;
    for (CallerConnection connection : open) {
      bytes += connection.unwrittenBytes();
    }
    return bytes;
  }

  /**
   * Returns the number of connections with a request or response in progress, including responses
   * whose last bytes are buffered for a slow caller.
   */
  public int activeCount() {
    return (int) open.stream().filter(CallerConnection::isActive).count();
  }
}
