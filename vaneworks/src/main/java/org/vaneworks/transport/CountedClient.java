package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.concurrent.api.AsyncCloseable;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client that closes its connections once it is forgotten and its calls are over.
 *
 * <p>ServiceTalk's graceful close waits for calls that have a connection, and fails those whose
 * connection is just being opened. Thread-safe.
 */
public final class CountedClient<C extends AsyncCloseable> {
  private final C client;

  /** Calls under way, and one as long as the client is not forgotten. */
  private final AtomicInteger users = new AtomicInteger(1);

  private CountedClient(C client) {
    this.client = checkNotNull(client);
  }

  /** Returns a client without calls. */
  public static <C extends AsyncCloseable> CountedClient<C> of(C client) {
    return new CountedClient<>(client);
  }

  /** Returns the client for a call; {@link #callOver} is to follow once. */
  public C callBegins() {
    users.incrementAndGet();
    return client;
  }

  /** Takes note that a call is over, whatever came of it. */
  public void callOver() {
    if (users.decrementAndGet() == 0) {
      client.closeAsyncGracefully().subscribe();
    }
  }

  /** Closes the connections once no call is under way; to be called once, and no call after it. */
  public void forget() {
    callOver();
  }

  /** Returns the client, to be closed at once. */
  public C client() {
    return client;
  }
}
