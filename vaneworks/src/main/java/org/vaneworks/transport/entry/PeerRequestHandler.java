package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.util.Optional;
import org.vaneworks.coordination.forwarding.CallerRequest;
import org.vaneworks.coordination.forwarding.CallerResponse;
import org.vaneworks.coordination.forwarding.PeerHop;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/** Accepts requests that peers forward, and refuses those of anybody else. */
final class PeerRequestHandler implements EntryServer.RequestHandler {
  private static final CallerResponse.Listener NO_LISTENER =
      new CallerResponse.Listener() {
        @Override
        public void drained() {}

        @Override
        public void disconnected() {}
      };

  private final byte[] token;
  private final EntryServer.ForwardedRequestHandler handler;
  private final Counters counters;

  PeerRequestHandler(String token, EntryServer.ForwardedRequestHandler handler, Counters counters) {
    this.token = token.getBytes(UTF_8);
    this.handler = checkNotNull(handler);
    this.counters = checkNotNull(counters);
  }

  @Override
  public CallerResponse.Listener handle(CallerRequest request, CallerResponse response) {
    Optional<PeerHop> hop = PeerHeaders.read(((EntryRequest) request).head().headers());
    boolean known =
        hop.filter(sent -> MessageDigest.isEqual(token, sent.token().getBytes(UTF_8))).isPresent();
    if (!known) {
      counters.count(Metric.PEER_HOPS, "rejected");
      EventLog.warn(Event.PEER_REQUEST_REJECTED, "request", request.id());
      response.refuse(Refusal.nothingSent(Reason.UNKNOWN_PEER, "no valid token"));
      return NO_LISTENER;
    }
    counters.count(Metric.PEER_HOPS, "taken");
    EventLog.debug(
        Event.PEER_REQUEST_TAKEN, "request", request.id(), "service", hop.get().service());
    return handler.handle(request, response, hop.get());
  }
}
