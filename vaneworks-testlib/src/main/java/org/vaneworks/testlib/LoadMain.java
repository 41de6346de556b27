package org.vaneworks.testlib;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Generates load on running nodes over HTTP, as callers behind a load balancer do.
 *
 * <p>The load is open-loop: each request is sent at its scheduled time regardless of the others,
 * and times are measured from the scheduled time. A request is sent to another node only if the
 * connection to the first one fails.
 */
@Command(name = "load", description = "Loads nodes over HTTP with streamed completions.")
public final class LoadMain implements Callable<Integer> {
  private static final Duration REQUEST_TIMEOUT = Duration.ofMinutes(2);
  private static final String DATA_PREFIX = "data: ";

  @Option(names = "--node", split = ",", required = true, description = "Callers' addresses.")
  private List<String> nodes;

  @Option(names = "--workspace", split = ",", required = true, description = "Workspaces' names.")
  private List<String> workspaces;

  @Option(names = "--rate", defaultValue = "10", description = "Requests a second.")
  private double rate;

  @Option(names = "--seconds", defaultValue = "20", description = "How long requests arrive.")
  private int seconds;

  @Option(names = "--shape", description = "Shape: ${COMPLETION-CANDIDATES}.")
  private LoadProfile.Shape shape = LoadProfile.Shape.STEADY;

  @Option(names = "--first-ms", defaultValue = "520", description = "Bound on the first token.")
  private int firstMillis;

  @Option(names = "--between-ms", defaultValue = "74", description = "Bound between tokens.")
  private int betweenMillis;

  @Option(names = "--seed", defaultValue = "1", description = "Source of all chance.")
  private long seed;

  @Option(names = "--json", description = "Print a document in place of a line.")
  private boolean json;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  private LoadMain() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    System.exit(
        new CommandLine(new LoadMain()).setCaseInsensitiveEnumValuesAllowed(true).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    LoadReport report =
        LoadReport.create(
            Duration.ofMillis(firstMillis), Duration.ofMillis(betweenMillis), System::nanoTime);
    LoadProfile profile =
        new LoadProfile(
            shape,
            rate,
            Duration.ofSeconds(seconds),
            workspaces.size(),
            new LoadProfile.Range(30, 400),
            new LoadProfile.Range(10, 60),
            0.5,
            0.1,
            seed);
    Random balancer = new Random(seed);
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    ExecutorService readers = Executors.newCachedThreadPool();
    long start = System.nanoTime();
    List<CompletableFuture<Void>> sent = new ArrayList<>();
    for (LoadProfile.Arrival arrival : profile.arrivals()) {
      int first = balancer.nextInt(nodes.size());
      CompletableFuture<Void> done = new CompletableFuture<>();
      sent.add(done);
      long due = start + arrival.at().toNanos();
      Runnable sendTask =
          () -> {
            send(arrival, first, report.measure(arrival.workspace(), due));
            done.complete(null);
          };
      var unused =
          timer.schedule(
              () -> readers.execute(sendTask), due - System.nanoTime(), TimeUnit.NANOSECONDS);
    }
    CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new)).get(10, TimeUnit.MINUTES);
    timer.shutdownNow();
    readers.shutdownNow();
    System.out.println(json ? Json.write(report.toJson()) : report.toLine());
    return 0;
  }

  private void send(LoadProfile.Arrival arrival, int first, AnswerSink sink) {
    for (int i = 0; i < nodes.size(); i++) {
      try {
        read(
            client.send(
                request(arrival, nodes.get((first + i) % nodes.size())),
                HttpResponse.BodyHandlers.ofLines()),
            sink);
        return;
      } catch (ConnectException e) {
        continue; // Nothing was sent, so the load balancer tries the next node.
      } catch (IOException e) {
        sink.failed(Refusal.mayHaveRun(Reason.HOME_LOST, e.toString()));
        return;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
    sink.failed(Refusal.nothingSent(Reason.HOME_LOST, "no node can be connected to"));
  }

  private HttpRequest request(LoadProfile.Arrival arrival, String node) {
    String workspace = workspaces.get(arrival.workspace());
    String body =
        Json.write(
            Json.object()
                .put("prompt", arrival.prompt())
                .put("max_tokens", arrival.tokens())
                .put("stream", true));
    return HttpRequest.newBuilder(
            URI.create("http://" + node + "/v1/workspaces/" + workspace + "/completions"))
        .timeout(REQUEST_TIMEOUT)
        .header("content-type", "application/json")
        .header("vaneworks-repeatable", Boolean.toString(arrival.repeatable()))
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  private static void read(HttpResponse<Stream<String>> response, AnswerSink sink) {
    boolean[] complete = new boolean[1];
    String[] problem = {""};
    try (Stream<String> lines = response.body()) {
      lines.forEach(
          line -> {
            if (line.equals(DATA_PREFIX + "[DONE]")) {
              complete[0] = true;
            } else if (line.contains("\"verdict\"")) {
              problem[0] =
                  line.startsWith(DATA_PREFIX) ? line.substring(DATA_PREFIX.length()) : line;
            } else if (line.startsWith(DATA_PREFIX) && line.contains("\"content\"")) {
              sink.token(line);
            }
          });
    }
    if (complete[0]) {
      sink.complete();
      return;
    }
    sink.failed(problem[0].isEmpty() ? truncated() : refusalOf(Json.parse(problem[0])));
  }

  private static Refusal truncated() {
    return Refusal.mayHaveRun(Reason.INTERNAL, "the answer was cut short");
  }

  private static Refusal refusalOf(JsonNode problem) {
    String code = problem.path("reason").asText();
    for (Reason reason : Reason.values()) {
      if (reason.code().equals(code)) {
        return problem.path("verdict").asText().equals("NOT_RUN")
            ? Refusal.nothingSent(reason, "")
            : Refusal.mayHaveRun(reason, "");
      }
    }
    return truncated();
  }
}
