package org.vaneworks.coordination.forwarding;

import java.util.Optional;

/** Tracks the caller of a request that has not been admitted yet, or was refused. */
final class PendingRequest implements CallerResponse.Listener {
  private Optional<CallerResponse.Listener> delegate = Optional.empty();
  private boolean disconnected;

  boolean isDisconnected() {
    return disconnected;
  }

  void delegateTo(CallerResponse.Listener listener) {
    delegate = Optional.of(listener);
  }

  @Override
  public void drained() {
    delegate.ifPresent(CallerResponse.Listener::drained);
  }

  @Override
  public void disconnected() {
    disconnected = true;
    delegate.ifPresent(CallerResponse.Listener::disconnected);
  }
}
