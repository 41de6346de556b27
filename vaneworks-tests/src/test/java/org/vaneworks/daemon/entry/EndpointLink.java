package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** The network between a node and all endpoints, which a cut interrupts. */
final class EndpointLink {
  private final SimulatedEventLoop eventLoop;
  private final Random connections;
  private final Consumer<Runnable> network;

  /** What is held back by a cut until it ends. */
  private final List<Runnable> heldBack = new ArrayList<>();

  private EndpointCut cut = EndpointCut.NONE;

  /**
   * Creates a link that works.
   *
   * @param eventLoop of the node
   * @param connections decides which requests go over open connections during a cut
   * @param network runs what arrives at an endpoint after the delay of the network
   */
  EndpointLink(SimulatedEventLoop eventLoop, Random connections, Consumer<Runnable> network) {
    this.eventLoop = eventLoop;
    this.connections = connections;
    this.network = network;
  }

  /** Cuts the node off from all endpoints, or ends that, which releases what was held back. */
  void cut(EndpointCut next) {
    cut = next;
    if (next == EndpointCut.NONE) {
      List<Runnable> released = ImmutableList.copyOf(heldBack);
      heldBack.clear();
      released.forEach(Runnable::run);
    }
  }

  boolean isCut() {
    return cut != EndpointCut.NONE;
  }

  /** Returns whether open connections are reset. */
  boolean resetsConnections() {
    return cut == EndpointCut.RESET;
  }

  /** Returns whether new connections are refused. */
  boolean refusesConnections() {
    return cut == EndpointCut.RESET || cut == EndpointCut.NEW_REFUSED;
  }

  /** Returns whether what endpoints send is held back, so that new connections hang. */
  boolean holdsAnswers() {
    return cut == EndpointCut.HANG || cut == EndpointCut.ANSWERS_HELD;
  }

  /** Returns whether a request goes over an open connection; half of them do during a cut. */
  boolean hasOpenConnection() {
    return switch (cut) {
      case NONE -> true;
      case HANG, ANSWERS_HELD -> connections.nextBoolean();
      case RESET, NEW_REFUSED -> false;
    };
  }

  /** Receives something from an endpoint, unless the cut holds it back. */
  void receive(Runnable callback) {
    if (holdsAnswers()) {
      heldBack.add(() -> eventLoop.receive(callback));
    } else {
      eventLoop.receive(callback);
    }
  }

  /** Sends something to an endpoint, unless the cut holds it back. */
  void send(Runnable arrival) {
    if (cut == EndpointCut.HANG) {
      heldBack.add(arrival);
    } else {
      network.accept(arrival);
    }
  }
}
