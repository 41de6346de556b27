package org.vaneworks.transport;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.membership.Member;
import org.vaneworks.protocol.Json;

/** Writes a node's status document for operators. */
final class NodeStatusJson {
  private NodeStatusJson() {}

  static String write(Node node) {
    ObjectNode status =
        Json.object()
            .put("node", node.settings().name())
            .put("incarnation", node.settings().incarnation())
            .put("dataCentre", node.settings().dataCentre())
            .put("phase", node.phase().name())
            .put("version", node.configuration().version())
            .put("inFlight", node.inFlight());
    ArrayNode members = status.putArray("members");
    for (Member member : node.members().others()) {
      members
          .addObject()
          .put("member", member.identity())
          .put("address", member.address().toString())
          .put("dataCentre", member.dataCentre())
          .put("status", member.status().name());
    }
    ArrayNode endpoints = status.putArray("endpoints");
    for (EndpointState state : node.endpoints().all()) {
      endpoints
          .addObject()
          .put("endpoint", state.endpoint().id().toString())
          .put("serves", state.endpoint().serves())
          .put("layers", state.endpoint().layers().map(Object::toString).orElse(""))
          .put("usable", state.isUsable())
          .put("leaving", state.isLeaving())
          .put("inFlight", state.inFlight())
          .put("linkMillis", state.linkMillis());
    }
    return Json.write(status);
  }
}
