package org.vaneworks.tests.processes;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.vaneworks.protocol.Json;

/** A caller outside the fleet. */
final class Caller {
  private static final Duration PATIENCE = Duration.ofSeconds(60);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** A streamed answer as it comes in. */
  static final class Streamed {
    private final List<String> tokens = new ArrayList<>();
    private final CountDownLatch begun = new CountDownLatch(3);
    private volatile boolean whole;
    private volatile String error = "";
    private volatile int status;
    private CompletableFuture<Void> ended = CompletableFuture.completedFuture(null);

    synchronized List<String> tokens() {
      return List.copyOf(tokens);
    }

    /** Waits until a few tokens came, so that what follows happens in the middle. */
    void awaitMiddle() throws InterruptedException {
      begun.await();
    }

    boolean isWhole() {
      ended.join();
      return whole;
    }

    String error() {
      ended.join();
      return error;
    }

    int status() {
      ended.join();
      return status;
    }

    private synchronized void line(String line) {
      if (line.equals("data: [DONE]")) {
        whole = true;
      } else if (line.startsWith("event: error") || line.contains("\"verdict\"")) {
        error = line;
      } else if (line.startsWith("data: ")) {
        JsonNode choice = Json.parse(line.substring("data: ".length())).at("/choices/0/delta");
        if (choice.has("content")) {
          tokens.add(choice.get("content").asText());
          begun.countDown();
        }
      }
    }
  }

  Streamed stream(String node, String workspace, String prompt, int tokens) {
    Streamed answer = new Streamed();
    HttpRequest request = completion(node, workspace, prompt, tokens, true, Map.of());
    answer.ended =
        client
            .sendAsync(request, HttpResponse.BodyHandlers.ofLines())
            .thenAcceptAsync(
                response -> {
                  answer.status = response.statusCode();
                  try (Stream<String> lines = response.body()) {
                    lines.forEach(answer::line);
                  }
                });
    return answer;
  }

  HttpResponse<String> whole(
      String node, String workspace, String prompt, int tokens, Map<String, String> headers)
      throws Exception {
    return client.send(
        completion(node, workspace, prompt, tokens, false, headers),
        HttpResponse.BodyHandlers.ofString());
  }

  private static HttpRequest completion(
      String node,
      String workspace,
      String prompt,
      int tokens,
      boolean stream,
      Map<String, String> headers) {
    String body =
        Json.write(
            Json.object().put("prompt", prompt).put("max_tokens", tokens).put("stream", stream));
    return request(node, "POST", "/v1/workspaces/" + workspace + "/completions", body, headers)
        .build();
  }

  private static HttpRequest.Builder request(
      String node, String method, String path, String body, Map<String, String> headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + node + path))
            .timeout(PATIENCE)
            .header("content-type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(builder::setHeader);
    return builder;
  }

  HttpResponse<String> send(
      String node, String method, String path, String body, Map<String, String> headers)
      throws Exception {
    return client.send(
        request(node, method, path, body, headers).build(), HttpResponse.BodyHandlers.ofString());
  }
}
