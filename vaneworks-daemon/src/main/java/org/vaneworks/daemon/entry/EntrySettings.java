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
 * The settings of a forwarding daemon, read from its settings file. docs/SETTINGS.md describes
 * every field.
 *
 * @param name the name of the box
 * @param dataCentre the data centre of the box
 * @param callers the address on which to listen for callers
 * @param readiness the address on which to serve the load balancer's readiness check
 * @param metrics the address on which to serve metrics; empty to serve none
 * @param peers the address on which to receive load reports from other nodes; if empty, the node
 *     assumes that the load of every other node equals its own
 * @param store the address of the platform's store
 * @param keyRevocation the time within which a revoked key must stop working on all nodes
 * @param stopGrace the time from SIGTERM until the platform kills the process
 * @param retryShare the fleet-wide retry budget as a fraction of requests
 * @param retryReserve the number of fleet-wide retries allowed beyond that fraction
 * @param retryWindow the time window in which retries are counted
 * @param maxHeaderBytes the maximum length of a caller's start line, and of each header field
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
    Duration retryWindow,
    int maxHeaderBytes) {
  private static final int MAX_MS = 3_600_000;
  private static final int DEFAULT_KEY_REVOCATION_MS = 5000;
  private static final int DEFAULT_STOP_GRACE_SECONDS = 8;
  private static final int DEFAULT_WINDOW_SECONDS = 10;
  private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;

  /**
   * Reads a settings file.
   *
   * @throws IOException if the file can't be read
   * @throws IllegalArgumentException if any field is rejected; the message has one line per field,
   *     with its value and the allowed values
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
        Duration.ofSeconds(fields.integer("retryWindowSeconds", 0, 3600, DEFAULT_WINDOW_SECONDS)),
        fields.integer("maxHeaderBytes", 1024, 1 << 20, DEFAULT_MAX_HEADER_BYTES));
  }

  /** Returns the names of the fields that differ and whose change needs a restart. */
  ImmutableList<String> changedFixedFields(EntrySettings next) {
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

  /** Returns these settings with the values of {@code next} for fields that need no restart. */
  EntrySettings withReloadableFieldsOf(EntrySettings next) {
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
        next.retryWindow,
        maxHeaderBytes);
  }
}
