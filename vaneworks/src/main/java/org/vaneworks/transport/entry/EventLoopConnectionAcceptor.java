package org.vaneworks.transport.entry;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.transport.api.ConnectExecutionStrategy;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.LateConnectionAcceptor;
import java.util.function.Function;

/**
 * Runs an acceptor on the event loop of the accepted connection; ServiceTalk offloads acceptors to
 * another thread by default.
 */
final class EventLoopConnectionAcceptor implements LateConnectionAcceptor {
  private final Function<ConnectionInfo, Completable> acceptor;

  private EventLoopConnectionAcceptor(Function<ConnectionInfo, Completable> acceptor) {
    this.acceptor = acceptor;
  }

  static LateConnectionAcceptor onEventLoop(Function<ConnectionInfo, Completable> acceptor) {
    return new EventLoopConnectionAcceptor(acceptor);
  }

  @Override
  public Completable accept(ConnectionInfo connection) {
    return acceptor.apply(connection);
  }

  @Override
  public ConnectExecutionStrategy requiredOffloads() {
    return ConnectExecutionStrategy.offloadNone();
  }
}
