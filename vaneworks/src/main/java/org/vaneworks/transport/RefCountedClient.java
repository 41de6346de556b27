package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.concurrent.api.AsyncCloseable;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A reference-counted client that closes its connections once it was released by its owner and all
 * calls have ended.
 *
 * <p>ServiceTalk's graceful close waits for calls that have a connection, but fails calls whose
 * connection is still being established. Thread-safe.
 */
public final class RefCountedClient<C extends AsyncCloseable> {
  private final C client;

  /** Number of calls in progress, plus one until {@link #closeWhenIdle} is called. */
  private final AtomicInteger references = new AtomicInteger(1);

  private RefCountedClient(C client) {
    this.client = checkNotNull(client);
  }

  /** Wraps a client that has no calls in progress. */
  public static <C extends AsyncCloseable> RefCountedClient<C> of(C client) {
    return new RefCountedClient<>(client);
  }

  /**
   * Counts a call, which must call {@link #release} exactly once when it ends.
   *
   * @return whether the client can be used; {@code false} once it closes its connections
   */
  public boolean tryAcquire() {
    return references.getAndUpdate(count -> count == 0 ? 0 : count + 1) > 0;
  }

  /** Records the end of a call, whether it succeeded or not. */
  public void release() {
    if (references.decrementAndGet() == 0) {
      client.closeAsyncGracefully().subscribe();
    }
  }

  /** Closes the connections once no call is in progress. Must be called at most once. */
  public void closeWhenIdle() {
    release();
  }

  /** Returns the client, for a call that was counted or to close it immediately. */
  public C client() {
    return client;
  }
}
