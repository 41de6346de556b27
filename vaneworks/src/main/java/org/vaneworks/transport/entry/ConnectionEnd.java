package org.vaneworks.transport.entry;

import com.google.common.base.Throwables;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.servicetalk.transport.netty.internal.CloseHandler.CloseEvent;
import io.servicetalk.transport.netty.internal.CloseHandler.CloseEventObservedException;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.channels.ClosedChannelException;
import java.util.List;
import java.util.Optional;

/** How the connection of a call to an endpoint ended before the response was complete. */
enum ConnectionEnd {
  /** The endpoint refused the connection. */
  REFUSED("refused", "endpoint"),

  /** The connection was not established in time. */
  CONNECT_TIMEOUT("connect-timeout", "node"),

  /** The endpoint, or a box on the way, reset the connection. */
  RESET("reset", "endpoint"),

  /** The endpoint closed the connection. */
  CLOSED("fin", "endpoint"),

  /** The node closed the connection. */
  CLOSED_BY_NODE("closed", "node"),

  /** The node closed the connection because the response was not valid HTTP. */
  MALFORMED("malformed", "node"),

  /** The node closed the connection because the head of the response was over its bound. */
  HEAD_TOO_LARGE("head-too-large", "node"),

  /** The cause does not tell. */
  UNKNOWN("unknown", "unknown");

  private final String code;
  private final String endedBy;

  ConnectionEnd(String code, String endedBy) {
    this.code = code;
    this.endedBy = endedBy;
  }

  /** Returns the code for logs. */
  String code() {
    return code;
  }

  /** Returns which side ended the connection. */
  String endedBy() {
    return endedBy;
  }

  /** Classifies the failure of a call. */
  static ConnectionEnd of(Throwable failure) {
    List<Throwable> chain = Throwables.getCausalChain(failure);
    if (contains(chain, ConnectTimeoutException.class)) {
      return CONNECT_TIMEOUT;
    }
    if (contains(chain, ConnectException.class)) {
      return REFUSED;
    }
    if (contains(chain, TooLongFrameException.class)) {
      return HEAD_TOO_LARGE;
    }
    if (contains(chain, DecoderException.class)) {
      return MALFORMED;
    }
    // The channel reports an error of the socket as the cause of its own close.
    if (chain.stream().anyMatch(ConnectionEnd::isSocketError)) {
      return RESET;
    }
    return closeEvent(chain).map(ConnectionEnd::ofEvent).orElse(UNKNOWN);
  }

  private static boolean contains(List<Throwable> chain, Class<? extends Throwable> type) {
    return chain.stream().anyMatch(type::isInstance);
  }

  private static boolean isSocketError(Throwable cause) {
    return cause instanceof IOException && !(cause instanceof ClosedChannelException);
  }

  private static Optional<CloseEvent> closeEvent(List<Throwable> chain) {
    return chain.stream()
        .filter(CloseEventObservedException.class::isInstance)
        .map(observed -> ((CloseEventObservedException) observed).event())
        .findFirst();
  }

  private static ConnectionEnd ofEvent(CloseEvent event) {
    return event == CloseEvent.CHANNEL_CLOSED_INBOUND
            || event == CloseEvent.PROTOCOL_CLOSING_INBOUND
        ? CLOSED
        : CLOSED_BY_NODE;
  }
}
