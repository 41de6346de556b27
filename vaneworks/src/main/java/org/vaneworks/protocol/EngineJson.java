package org.vaneworks.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.vaneworks.coordination.endpoints.EndpointStatus;
import org.vaneworks.coordination.endpoints.SessionExport;
import org.vaneworks.coordination.endpoints.SessionId;
import org.vaneworks.coordination.endpoints.StepCall;
import org.vaneworks.coordination.endpoints.StepReply;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.Priority;
import org.vaneworks.state.StreamId;

/** The messages of model engines, and the status document of all endpoints. */
public final class EngineJson {
  /** Path for reading an endpoint's status. */
  public static final String STATUS_PATH = "/status";

  /** Path for running a step. */
  public static final String STEP_PATH = "/step";

  /** Path for ending a session. */
  public static final String END_PATH = "/end";

  /** Path for exporting a session. */
  public static final String EXPORT_PATH = "/export";

  /** Path for importing a session. */
  public static final String IMPORT_PATH = "/import";

  /** Parent path of the calls of plain services. */
  public static final String CALL_PATH = "/call";

  /** Header of a response that refuses a request before any part of it ran; holds the cause. */
  public static final String REFUSED_HEADER = "vaneworks-refused";

  /** Value of {@link #REFUSED_HEADER} from an overloaded endpoint. */
  public static final String OVERLOADED = "overloaded";

  private EngineJson() {}

  /** Returns the document of a status. */
  public static String writeStatus(EndpointStatus status) {
    Endpoint endpoint = status.endpoint();
    ObjectNode node =
        Json.object()
            .put("box", endpoint.id().box())
            .put("incarnation", endpoint.id().incarnation())
            .put("address", endpoint.address().toString())
            .put("dataCentre", endpoint.dataCentre())
            .put("serves", endpoint.serves())
            .put("accelerator", endpoint.accelerator())
            .put("fenced", endpoint.fenced())
            .put("leaving", status.leaving())
            .put("running", status.running())
            .put("queued", status.queued())
            .put("report", status.reportSequence());
    endpoint.layers().ifPresent(layers -> node.set("layers", writeRange(layers)));
    return Json.write(node);
  }

  /** Reads a status. */
  public static EndpointStatus readStatus(String text) {
    FieldReader fields = FieldReader.of("status", Json.parse(text));
    Optional<LayerRange> layers =
        fields.has("layers") ? Optional.of(readRange(fields.object("layers"))) : Optional.empty();
    Endpoint endpoint =
        new Endpoint(
            new EndpointId(fields.text("box"), fields.text("incarnation")),
            HostPort.parse(fields.text("address")),
            fields.text("dataCentre", ""),
            fields.text("serves"),
            layers,
            fields.text("accelerator", ""),
            fields.bool("fenced", true));
    return new EndpointStatus(
        endpoint,
        fields.bool("leaving", false),
        fields.integer("running", 0, Integer.MAX_VALUE, 0),
        fields.integer("queued", 0, Integer.MAX_VALUE, 0),
        fields.longInteger("report", 0, Long.MAX_VALUE));
  }

  /** Returns the document of a step call. */
  public static String writeStep(StepCall call) {
    ObjectNode node =
        writeSession(call.session())
            .put("step", call.step())
            .put("positions", call.positions())
            .put("input", call.input())
            .put("priority", call.priority().name());
    if (call.rebuilds()) {
      node.put("historyPositions", call.historyPositions());
      node.set("history", Json.texts(call.history()));
    }
    return Json.write(node);
  }

  /** Reads a step call. */
  public static StepCall readStep(String text) {
    FieldReader fields = FieldReader.of("step", Json.parse(text));
    return new StepCall(
        readSession(fields),
        fields.integer("step", 0, Integer.MAX_VALUE),
        fields.integer("positions", 1, Integer.MAX_VALUE),
        fields.text("input", ""),
        fields.texts("history"),
        fields.integer("historyPositions", 0, Integer.MAX_VALUE, 0),
        fields.oneOf("priority", Priority.class, Priority.NORMAL));
  }

  /** Returns the document of a reply to a step. */
  public static String writeReply(StepReply reply) {
    ObjectNode node =
        writeSession(reply.session()).put("step", reply.step()).put("output", reply.output());
    if (!reply.historyOutputs().isEmpty()) {
      node.set("historyOutputs", Json.texts(reply.historyOutputs()));
    }
    return Json.write(node);
  }

  /** Reads a reply to a step. */
  public static StepReply readReply(String text) {
    FieldReader fields = FieldReader.of("reply", Json.parse(text));
    return new StepReply(
        readSession(fields),
        fields.integer("step", 0, Integer.MAX_VALUE),
        fields.text("output", ""),
        fields.texts("historyOutputs"));
  }

  /** Returns the document of a session id. */
  public static ObjectNode writeSession(SessionId session) {
    ObjectNode node =
        Json.object()
            .put("node", session.stream().node())
            .put("sequence", session.stream().sequence())
            .put("nonce", session.stream().nonce())
            .put("epoch", session.epoch());
    node.set("layers", writeRange(session.layers()));
    return node;
  }

  /** Reads a session id. */
  public static SessionId readSession(FieldReader fields) {
    StreamId stream =
        new StreamId(
            fields.text("node"),
            fields.longInteger("sequence", 0, Long.MAX_VALUE),
            fields.longInteger("nonce", Long.MIN_VALUE, Long.MAX_VALUE));
    return new SessionId(
        stream, fields.integer("epoch", 1, Integer.MAX_VALUE), readRange(fields.object("layers")));
  }

  /** Reads a session id from a separate document. */
  public static SessionId readSession(String text) {
    return readSession(FieldReader.of("session", Json.parse(text)));
  }

  /** Returns the document of an exported session. */
  public static String writeExport(SessionExport export) {
    return Json.write(exportNode(export));
  }

  private static ObjectNode exportNode(SessionExport export) {
    return writeSession(export.session()).put("steps", export.steps()).put("state", export.state());
  }

  /** Reads an exported session. */
  public static SessionExport readExport(String text) {
    return readExport(FieldReader.of("export", Json.parse(text)));
  }

  private static SessionExport readExport(FieldReader fields) {
    return new SessionExport(
        readSession(fields),
        fields.integer("steps", 1, Integer.MAX_VALUE),
        fields.text("state", ""));
  }

  /** Returns the request to import a session under another id. */
  public static String writeImport(SessionId target, SessionExport export) {
    ObjectNode node = Json.object();
    node.set("as", writeSession(target));
    node.set("export", exportNode(export));
    return Json.write(node);
  }

  /** Reads the id of the new session from a request to import. */
  public static SessionId readImportTarget(JsonNode node) {
    return readSession(FieldReader.of("", node).object("as"));
  }

  /** Reads the exported session from a request to import. */
  public static SessionExport readImportSource(JsonNode node) {
    return readExport(FieldReader.of("", node).object("export"));
  }

  private static ObjectNode writeRange(LayerRange range) {
    return Json.object().put("from", range.from()).put("to", range.to());
  }

  private static LayerRange readRange(FieldReader fields) {
    return LayerRange.of(
        fields.integer("from", 0, Integer.MAX_VALUE), fields.integer("to", 1, Integer.MAX_VALUE));
  }
}
