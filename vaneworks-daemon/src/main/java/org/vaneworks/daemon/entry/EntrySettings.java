package org.vaneworks.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.daemon.FieldDifferences;
import org.vaneworks.protocol.FieldReader;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.HostPort;

/**
 * The settings file of a forwarding daemon; docs/SETTINGS.md lists every field.
 *
 * @param name the box's name
 * @param dataCentre where the box stands
 * @param callers where callers are listened to
 * @param readiness where the balancer's readiness check is listened to
 * @param metrics where readers of the node's own figures are listened to, if at all
 * @param peers where other nodes' load reports are listened for; without it each node takes the
 *     others to be like itself
 * @param store where the platform's store is
 * @param keyRevocation time in which a key that was taken away has to stop working everywhere
 * @param stopGrace time from SIGTERM until the platform ends the process
 * @param retryShare repeated sends of the fleet, as a share of its requests
 * @param retryReserve repeated sends of the fleet beyond that share
 * @param maxHeaderBytes longest start line and longest header field of a caller
 */
public record EntrySettings(
    String name,
    String dataCentre,
    HostPort callers,
    HostPort readiness,
    Optional<HostPort> metrics,
    Optional<HostPort> peers,
    HostPort store,
    Duration keyRevocation,
    Duration stopGrace,
    double retryShare,
    double retryReserve,
    int maxHeaderBytes) {
  private static final int MAX_MS = 3_600_000;
  private static final int DEFAULT_KEY_REVOCATION_MS = 5000;
  private static final int DEFAULT_STOP_GRACE_SECONDS = 8;
  private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;

  /**
   * Reads a settings file.
   *
   * @throws IOException if the file can't be read
   * @throws IllegalArgumentException with a line for each field that is not accepted, its value and
   *     what is allowed
   */
  public static EntrySettings read(Path file) throws IOException {
    ImmutableList<JsonNode> documents = Json.parseYaml(Files.readString(file));
    FieldReader fields = FieldReader.collecting(documents.isEmpty() ? null : documents.get(0));
    EntrySettings settings = read(fields);
    fields.rejectUnknown();
    fields.throwIfInvalid();
    return settings;
  }

  private static EntrySettings read(FieldReader fields) {
    return new EntrySettings(
        fields.text("name"),
        fields.text("dataCentre"),
        fields.address("callers"),
        fields.address("readiness"),
        fields.optionalAddress("metrics"),
        fields.optionalAddress("peers"),
        fields.address("store"),
        Duration.ofMillis(
            fields.integer("keyRevocationMs", 100, MAX_MS, DEFAULT_KEY_REVOCATION_MS)),
        Duration.ofSeconds(fields.integer("stopGraceSeconds", 1, 3600, DEFAULT_STOP_GRACE_SECONDS)),
        fields.number("retryShare", 0, 1, 0.2),
        fields.number("retryReserve", 0, 1e6, 100),
        fields.integer("maxHeaderBytes", 1024, 1 << 20, DEFAULT_MAX_HEADER_BYTES));
  }

  /** Returns the names of the fields that differ but hold for the life of a process. */
  ImmutableList<String> fixedFieldsThatDiffer(EntrySettings next) {
    return FieldDifferences.create()
        .compare("name", name, next.name)
        .compare("dataCentre", dataCentre, next.dataCentre)
        .compare("callers", callers, next.callers)
        .compare("readiness", readiness, next.readiness)
        .compare("metrics", metrics, next.metrics)
        .compare("peers", peers, next.peers)
        .compare("store", store, next.store)
        .compare("maxHeaderBytes", maxHeaderBytes, next.maxHeaderBytes)
        .names();
  }

  /** Returns these settings with those fields of the next that may change in a running process. */
  EntrySettings withChangeableFieldsOf(EntrySettings next) {
    return new EntrySettings(
        name,
        dataCentre,
        callers,
        readiness,
        metrics,
        peers,
        store,
        next.keyRevocation,
        next.stopGrace,
        next.retryShare,
        next.retryReserve,
        maxHeaderBytes);
  }
}
