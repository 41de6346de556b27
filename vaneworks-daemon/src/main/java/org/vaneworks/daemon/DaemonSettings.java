package org.vaneworks.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.vaneworks.coordination.NodeLimits;
import org.vaneworks.coordination.NodeSettings;
import org.vaneworks.coordination.StopTimes;
import org.vaneworks.coordination.endpoints.EndpointLimits;
import org.vaneworks.coordination.once.OnceLimits;
import org.vaneworks.coordination.pipeline.PipelineLimits;
import org.vaneworks.coordination.routing.RoutingSettings;
import org.vaneworks.coordination.store.StoreBudget;
import org.vaneworks.protocol.FieldReader;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.ResourceKey;

/**
 * The settings file of a daemon; docs/SETTINGS.md lists every field.
 *
 * @param name the box's name
 * @param dataCentre where the box stands
 * @param callers where callers are listened to
 * @param peers where peers are listened to
 * @param platform where the platform's store and box list are
 * @param workers threads of the worker pool
 * @param maxBodyBytes longest body taken from a caller
 * @param limits bounds on what the node does
 */
public record DaemonSettings(
    String name,
    String dataCentre,
    HostPort callers,
    HostPort peers,
    HostPort platform,
    int workers,
    int maxBodyBytes,
    NodeLimits limits) {
  private static final int MAX_MS = 3_600_000;

  /**
   * Reads a settings file.
   *
   * @throws IOException if the file can't be read
   * @throws IllegalArgumentException with a line for each field that is not accepted, its value and
   *     what is allowed
   */
  public static DaemonSettings read(Path file) throws IOException {
    ImmutableList<JsonNode> documents = Json.parseYaml(Files.readString(file));
    FieldReader fields = FieldReader.collecting(documents.isEmpty() ? null : documents.get(0));
    DaemonSettings settings = read(fields);
    fields.rejectUnknown();
    fields.throwIfInvalid();
    return settings;
  }

  private static DaemonSettings read(FieldReader fields) {
    String name = fields.text("name");
    if (!name.isEmpty() && !ResourceKey.isName(name)) {
      fields.reject("name", "is " + name + ", allowed: lower case letters, digits, - and .");
    }
    return new DaemonSettings(
        name,
        fields.text("dataCentre"),
        fields.address("callers"),
        fields.address("peers"),
        fields.address("platform"),
        fields.integer("workers", 1, 256, 4),
        fields.integer("maxBodyBytes", 1024, 64 << 20, 1 << 20),
        new NodeLimits(
            routing(fields.objectOrEmpty("routing")),
            endpointLimits(fields.objectOrEmpty("endpoints")),
            pipelineLimits(fields.objectOrEmpty("streams")),
            onceLimits(fields.objectOrEmpty("once")),
            storeBudget(fields.objectOrEmpty("store")),
            stopTimes(fields.objectOrEmpty("stop"))));
  }

  private static OnceLimits onceLimits(FieldReader fields) {
    OnceLimits usual = OnceLimits.defaults();
    OnceLimits limits =
        new OnceLimits(
            positiveMillis(fields, "ticketValidityMs", usual.ticketValidity()),
            positiveMillis(fields, "claimRetentionMs", usual.claimRetention()),
            fields.integer("maxRecords", 1, 10_000_000, usual.maxRecords()),
            fields.integer("maxKilobytes", 1, 1 << 20, (int) (usual.maxBytes() >> 10)) * 1024L);
    fields.rejectUnknown();
    return limits;
  }

  private static StoreBudget storeBudget(FieldReader fields) {
    StoreBudget usual = StoreBudget.defaults();
    StoreBudget budget =
        new StoreBudget(
            fields.number("callsPerSecond", 0.1, 10_000, usual.callsPerSecond()),
            fields.integer("burst", 1, 100_000, usual.burst()));
    fields.rejectUnknown();
    return budget;
  }

  private static RoutingSettings routing(FieldReader fields) {
    RoutingSettings usual = RoutingSettings.defaults();
    RoutingSettings routing =
        new RoutingSettings(
            fields.oneOf("policy", RoutingSettings.PolicyKind.class, usual.policy()),
            fields.oneOf("admission", RoutingSettings.AdmissionKind.class, usual.admission()),
            fields.oneOf("cost", RoutingSettings.CostKind.class, usual.cost()),
            fields.integer("fixedCap", 1, 100_000, usual.fixedCap()),
            fields.number("retryShare", 0, 1, usual.retryShare()));
    fields.rejectUnknown();
    return routing;
  }

  private static EndpointLimits endpointLimits(FieldReader fields) {
    EndpointLimits usual = EndpointLimits.defaults();
    Duration least = millis(fields, "leastProgressMs", usual.minProgressDeadline());
    Duration timeout = millis(fields, "stepTimeoutMs", usual.stepTimeout());
    if (least.compareTo(timeout) > 0) {
      fields.reject("leastProgressMs", "must not be over stepTimeoutMs");
      least = timeout;
    }
    EndpointLimits limits =
        new EndpointLimits(
            least,
            timeout,
            fields.integer("streamsWhileUnknown", 1, 10_000, usual.streamsWhileUnknown()),
            fields.integer("maxStreams", 1, 100_000, usual.maxStreams()));
    fields.rejectUnknown();
    return limits;
  }

  private static PipelineLimits pipelineLimits(FieldReader fields) {
    PipelineLimits usual = PipelineLimits.defaults();
    PipelineLimits limits =
        new PipelineLimits(
            fields.integer("maxReplacements", 0, 1000, usual.maxReplacements()),
            millis(fields, "recoveryPatienceMs", usual.recoveryTimeout()),
            millis(fields, "moveOverMs", usual.migrationThreshold()),
            fields.integer("replayCharacters", 0, 1 << 30, usual.replayCharacters()));
    fields.rejectUnknown();
    return limits;
  }

  private static StopTimes stopTimes(FieldReader fields) {
    StopTimes usual = StopTimes.defaults();
    Duration lag = millis(fields, "balancerLagMs", usual.balancerLag());
    Duration deadline = millis(fields, "deadlineMs", usual.deadline());
    if (lag.compareTo(deadline) > 0) {
      fields.reject("balancerLagMs", "must not be over deadlineMs");
      lag = deadline;
    }
    fields.rejectUnknown();
    return new StopTimes(lag, deadline);
  }

  private static Duration positiveMillis(FieldReader fields, String name, Duration usual) {
    return Duration.ofMillis(fields.integer(name, 1, MAX_MS, (int) usual.toMillis()));
  }

  private static Duration millis(FieldReader fields, String name, Duration usual) {
    return Duration.ofMillis(fields.integer(name, 0, MAX_MS, (int) usual.toMillis()));
  }

  /** Returns what the node is told of itself. */
  public NodeSettings nodeSettings(String incarnation, String secret, HostPort peerAddress) {
    return new NodeSettings(name, incarnation, secret, peerAddress, dataCentre, limits);
  }

  /** Returns the names of the fields that differ; each holds for the life of a process. */
  ImmutableList<String> fieldsThatDiffer(DaemonSettings next) {
    return FieldDifferences.create()
        .compare("name", name, next.name)
        .compare("dataCentre", dataCentre, next.dataCentre)
        .compare("callers", callers, next.callers)
        .compare("peers", peers, next.peers)
        .compare("platform", platform, next.platform)
        .compare("workers", workers, next.workers)
        .compare("maxBodyBytes", maxBodyBytes, next.maxBodyBytes)
        .compare("routing", limits.routing(), next.limits.routing())
        .compare("endpoints", limits.endpoints(), next.limits.endpoints())
        .compare("streams", limits.streams(), next.limits.streams())
        .compare("once", limits.once(), next.limits.once())
        .compare("store", limits.store(), next.limits.store())
        .compare("stop", limits.stop(), next.limits.stop())
        .names();
  }
}
