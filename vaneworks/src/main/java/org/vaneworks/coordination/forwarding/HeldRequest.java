package org.vaneworks.coordination.forwarding;

import java.util.Optional;

/** A request that waits to be admitted, or was refused: remembers whether its caller has left. */
final class HeldRequest implements CallerResponse.Listener {
  private Optional<CallerResponse.Listener> admitted = Optional.empty();
  private boolean gone;

  boolean isGone() {
    return gone;
  }

  void goOnAs(CallerResponse.Listener flow) {
    admitted = Optional.of(flow);
  }

  @Override
  public void drained() {
    admitted.ifPresent(CallerResponse.Listener::drained);
  }

  @Override
  public void disconnected() {
    gone = true;
    admitted.ifPresent(CallerResponse.Listener::disconnected);
  }
}
