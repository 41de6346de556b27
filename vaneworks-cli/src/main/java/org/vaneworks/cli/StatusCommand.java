package org.vaneworks.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.vaneworks.protocol.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows which version is in force on each node. */
@Command(name = "status", description = "Shows which version is in force on each node.")
final class StatusCommand implements Callable<Integer> {
  private static final Duration CALL_LIMIT = Duration.ofSeconds(2);
  private static final Duration PAUSE = Duration.ofMillis(100);

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

  private final HttpClient client = HttpClient.newHttpClient();

  @Override
  public Integer call() throws InterruptedException {
    long until = System.nanoTime() + Duration.ofSeconds(timeoutSeconds).toNanos();
    ArrayNode rows = askAll();
    while (version != null && !isInForce(rows) && System.nanoTime() < until) {
      Thread.sleep(PAUSE.toMillis());
      rows = askAll();
    }
    System.out.println(output.print(rows));
    return version == null || isInForce(rows) ? ExitCodes.OK : ExitCodes.NOT_IN_FORCE;
  }

  private boolean isInForce(ArrayNode rows) {
    for (JsonNode row : rows) {
      if (row.path("version").asLong(-1) < version) {
        return false;
      }
    }
    return true;
  }

  private ArrayNode askAll() throws InterruptedException {
    ArrayNode rows = Json.list();
    for (String node : nodes) {
      rows.add(ask(node));
    }
    return rows;
  }

  private JsonNode ask(String node) throws InterruptedException {
    var row = Json.object().put("address", node);
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + node + "/status"))
              .timeout(CALL_LIMIT)
              .build();
      JsonNode status =
          Json.parse(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
      for (String field : List.of("node", "dataCentre", "phase", "version", "inFlight")) {
        row.set(field, status.path(field));
      }
    } catch (IOException e) {
      row.put("phase", "does not answer");
    }
    return row;
  }
}
