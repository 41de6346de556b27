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

/** An HTTP client that sends requests to nodes and stand-ins. */
final class Caller {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** A streamed answer that is being received. */
  static final class StreamedAnswer {
    private final List<String> tokens = new ArrayList<>();
    private final CountDownLatch firstTokens = new CountDownLatch(3);
    private volatile boolean complete;
    private volatile String error = "";
    private volatile int status;
    private CompletableFuture<Void> ended = CompletableFuture.completedFuture(null);

    synchronized List<String> tokens() {
      return List.copyOf(tokens);
    }

    /** Waits for the first tokens, so that the next step happens in the middle of the stream. */
    void awaitFirstTokens() throws InterruptedException {
      firstTokens.await();
    }

    boolean isComplete() {
      ended.join();
      return complete;
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
        complete = true;
      } else if (line.startsWith("event: error") || line.contains("\"verdict\"")) {
        error = line;
      } else if (line.startsWith("data: ")) {
        JsonNode choice = Json.parse(line.substring("data: ".length())).at("/choices/0/delta");
        if (choice.has("content")) {
          tokens.add(choice.get("content").asText());
          firstTokens.countDown();
        }
      }
    }
  }

  StreamedAnswer stream(String node, String workspace, String prompt, int tokens) {
    StreamedAnswer answer = new StreamedAnswer();
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

  HttpResponse<String> complete(
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
            .timeout(REQUEST_TIMEOUT)
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
