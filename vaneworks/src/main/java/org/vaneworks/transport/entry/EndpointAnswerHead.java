package org.vaneworks.transport.entry;

import io.servicetalk.http.api.HttpResponseMetaData;
import java.util.Optional;
import org.vaneworks.coordination.forwarding.ResponseHead;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;

/**
 * An endpoint's head with its headers.
 *
 * @param response status and headers
 * @param notRun whether the endpoint states that it did not run the request
 * @param matches whether it answers the request that was sent
 * @param obstacle the engine that it names as the reason
 * @param statement what it says of itself
 */
record EndpointAnswerHead(
    HttpResponseMetaData response,
    boolean notRun,
    boolean matches,
    Optional<HostPort> obstacle,
    EndpointSignal statement)
    implements ResponseHead {
  @Override
  public int status() {
    return response.status().code();
  }
}
