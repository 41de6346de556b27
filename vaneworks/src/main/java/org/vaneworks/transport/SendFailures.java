package org.vaneworks.transport;

import com.google.common.base.Throwables;
import io.netty.channel.ConnectTimeoutException;
import io.servicetalk.client.api.NoAvailableHostException;
import io.servicetalk.transport.api.RetryableException;
import java.net.ConnectException;
import java.util.List;
import org.vaneworks.coordination.concurrent.Async;

/** Classifies failures of requests by whether any byte of the request was sent. */
public final class SendFailures {
  private SendFailures() {}

  /** Returns whether the failure proves that no byte of the request was written. */
  public static boolean neverSent(Throwable failure) {
    Throwable cause = Async.causeOf(failure);
    return cause instanceof ConnectException
        || cause instanceof ConnectTimeoutException
        || cause instanceof NoAvailableHostException
        || cause instanceof RetryableException;
  }

  /**
   * Returns whether the failure proves that the remote box is up and refused the connection. A
   * connect timeout is no such proof.
   */
  public static boolean connectionRefused(Throwable failure) {
    List<Throwable> chain = Throwables.getCausalChain(failure);
    return chain.stream().anyMatch(ConnectException.class::isInstance)
        && chain.stream().noneMatch(ConnectTimeoutException.class::isInstance);
  }
}
