package org.vaneworks.cli;

import static java.util.concurrent.TimeUnit.SECONDS;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.HostPort;
import org.vaneworks.transport.HttpSender;
import org.vaneworks.transport.NodeStatusClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the configuration version in force on each node. */
@Command(name = "status", description = "Shows which version is in force on each node.")
final class StatusCommand implements Callable<Integer> {
  private static final int THREADS = 2;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

  @Option(
      names = "--node",
      required = true,
      split = ",",
      description = "Callers' address of a node; more than one may be given.")
  private List<String> nodes = new ArrayList<>();

  @Option(names = "--wait", description = "Wait until this version is in force everywhere.")
  private Long version;

  @Option(names = "--timeout-seconds", defaultValue = "30", description = "How long to wait.")
  private int timeoutSeconds;

  @Option(
      names = {"-o", "--output"},
      defaultValue = "TABLE",
      description = "Form of the result: ${COMPLETION-CANDIDATES}.")
  private OutputFormat output;

  @Override
  public Integer call() {
    Executor executor = Executors.newFixedSizeExecutor(THREADS);
    try (HttpSender sender = HttpSender.create(executor)) {
      NodeStatusClient client = NodeStatusClient.create(sender);
      long deadlineSeconds = executor.currentTime(SECONDS) + timeoutSeconds;
      ArrayNode rows = fetchAll(client);
      while (version != null
          && !isInForce(rows)
          && executor.currentTime(SECONDS) < deadlineSeconds) {
        Async.delay(executor, POLL_INTERVAL).join();
        rows = fetchAll(client);
      }
      System.out.println(output.print(rows));
      return version == null || isInForce(rows) ? ExitCodes.OK : ExitCodes.NOT_IN_FORCE;
    } finally {
      executor.closeAsync().subscribe();
    }
  }

  private boolean isInForce(ArrayNode rows) {
    for (JsonNode row : rows) {
      if (row.path("version").asLong(-1) < version) {
        return false;
      }
    }
    return true;
  }

  private ArrayNode fetchAll(NodeStatusClient client) {
    ArrayNode rows = Json.list();
    for (String node : nodes) {
      rows.add(fetchStatus(client, node));
    }
    return rows;
  }

  private static JsonNode fetchStatus(NodeStatusClient client, String node) {
    ObjectNode row = Json.object().put("address", node);
    try {
      JsonNode status = Json.parse(client.status(HostPort.parse(node)).join());
      for (String field : List.of("node", "dataCentre", "phase", "version", "inFlight")) {
        row.set(field, status.path(field));
      }
    } catch (CompletionException e) {
      row.put("phase", "does not answer");
    }
    return row;
  }
}
