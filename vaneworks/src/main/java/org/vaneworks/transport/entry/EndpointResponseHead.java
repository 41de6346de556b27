package org.vaneworks.transport.entry;

import io.servicetalk.http.api.HttpResponseMetaData;
import java.util.Optional;
import org.vaneworks.coordination.forwarding.PeerRefusal;
import org.vaneworks.coordination.forwarding.ResponseHead;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;

/**
 * The head of an endpoint's response, including its headers.
 *
 * @param response status and headers
 * @param notRun whether the endpoint reports that it did not run the request
 * @param matches whether the response carries the ID of the request that was sent
 * @param obstacle the engine named as the reason that the request was not run, if any
 * @param signal the signals that the endpoint reports about itself
 * @param peerRefusal the refusal of the peer that the request was forwarded to, if it refused
 */
record EndpointResponseHead(
    HttpResponseMetaData response,
    boolean notRun,
    boolean matches,
    Optional<HostPort> obstacle,
    EndpointSignal signal,
    Optional<PeerRefusal> peerRefusal)
    implements ResponseHead {
  @Override
  public int status() {
    return response.status().code();
  }
}
