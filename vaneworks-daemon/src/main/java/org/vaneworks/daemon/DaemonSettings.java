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
 * The settings of a daemon, read from its settings file. docs/SETTINGS.md describes every field.
 *
 * @param name the name of the box
 * @param dataCentre the data centre of the box
 * @param callers the address on which to listen for callers
 * @param peers the address on which to listen for peers
 * @param platform the address of the platform's store and box list
 * @param workers the number of threads in the worker pool
 * @param maxBodyBytes the maximum length of a caller's request body
 * @param limits the limits of the node's parts
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
   * @throws IllegalArgumentException if any field is rejected; the message has one line per field,
   *     with its value and the allowed values
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
    OnceLimits defaults = OnceLimits.defaults();
    OnceLimits limits =
        new OnceLimits(
            positiveMillis(fields, "ticketValidityMs", defaults.ticketValidity()),
            positiveMillis(fields, "claimRetentionMs", defaults.claimRetention()),
            fields.integer("maxRecords", 1, 10_000_000, defaults.maxRecords()),
            fields.integer("maxKilobytes", 1, 1 << 20, (int) (defaults.maxBytes() >> 10)) * 1024L);
    fields.rejectUnknown();
    return limits;
  }

  private static StoreBudget storeBudget(FieldReader fields) {
    StoreBudget defaults = StoreBudget.defaults();
    StoreBudget budget =
        new StoreBudget(
            fields.number("callsPerSecond", 0.1, 10_000, defaults.callsPerSecond()),
            fields.integer("burst", 1, 100_000, defaults.burst()));
    fields.rejectUnknown();
    return budget;
  }

  private static RoutingSettings routing(FieldReader fields) {
    RoutingSettings defaults = RoutingSettings.defaults();
    RoutingSettings routing =
        new RoutingSettings(
            fields.oneOf("policy", RoutingSettings.PolicyKind.class, defaults.policy()),
            fields.oneOf("admission", RoutingSettings.AdmissionKind.class, defaults.admission()),
            fields.oneOf("cost", RoutingSettings.CostKind.class, defaults.cost()),
            fields.integer("fixedCap", 1, 100_000, defaults.fixedCap()),
            fields.number("retryShare", 0, 1, defaults.retryShare()));
    fields.rejectUnknown();
    return routing;
  }

  private static EndpointLimits endpointLimits(FieldReader fields) {
    EndpointLimits defaults = EndpointLimits.defaults();
    Duration minProgress = millis(fields, "leastProgressMs", defaults.minProgressDeadline());
    Duration stepTimeout = millis(fields, "stepTimeoutMs", defaults.stepTimeout());
    if (minProgress.compareTo(stepTimeout) > 0) {
      fields.reject("leastProgressMs", "must not exceed stepTimeoutMs");
      minProgress = stepTimeout;
    }
    EndpointLimits limits =
        new EndpointLimits(
            minProgress,
            stepTimeout,
            fields.integer("streamsWhileUnknown", 1, 10_000, defaults.streamsWhileUnknown()),
            fields.integer("maxStreams", 1, 100_000, defaults.maxStreams()));
    fields.rejectUnknown();
    return limits;
  }

  private static PipelineLimits pipelineLimits(FieldReader fields) {
    PipelineLimits defaults = PipelineLimits.defaults();
    PipelineLimits limits =
        new PipelineLimits(
            fields.integer("maxReplacements", 0, 1000, defaults.maxReplacements()),
            millis(fields, "recoveryPatienceMs", defaults.recoveryTimeout()),
            millis(fields, "moveOverMs", defaults.migrationThreshold()),
            fields.integer("replayCharacters", 0, 1 << 30, defaults.replayCharacters()));
    fields.rejectUnknown();
    return limits;
  }

  private static StopTimes stopTimes(FieldReader fields) {
    StopTimes defaults = StopTimes.defaults();
    Duration balancerLag = millis(fields, "balancerLagMs", defaults.balancerLag());
    Duration deadline = millis(fields, "deadlineMs", defaults.deadline());
    if (balancerLag.compareTo(deadline) > 0) {
      fields.reject("balancerLagMs", "must not exceed deadlineMs");
      balancerLag = deadline;
    }
    fields.rejectUnknown();
    return new StopTimes(balancerLag, deadline);
  }

  private static Duration positiveMillis(FieldReader fields, String name, Duration defaultValue) {
    return Duration.ofMillis(fields.integer(name, 1, MAX_MS, (int) defaultValue.toMillis()));
  }

  private static Duration millis(FieldReader fields, String name, Duration defaultValue) {
    return Duration.ofMillis(fields.integer(name, 0, MAX_MS, (int) defaultValue.toMillis()));
  }

  /** Returns the settings of the node. */
  public NodeSettings nodeSettings(String incarnation, String secret, HostPort peerAddress) {
    return new NodeSettings(name, incarnation, secret, peerAddress, dataCentre, limits);
  }

  /** Returns the names of the fields that differ; a change of any of them needs a restart. */
  ImmutableList<String> changedFields(DaemonSettings next) {
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
