package org.vaneworks.transport;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests over sockets that a streamed completion reaches a caller that reads slowly. */
final class CompletionResponseTest {
  /** Only bounds a hang; no result depends on it. */
  private static final int HANG_SECONDS = 60;

  private static final int TOKENS = 20_000;

  /** Together the tokens exceed the socket buffers between caller and node. */
  private static final String PADDING = "x".repeat(1000);

  private static final int RECEIVE_BUFFER_BYTES = 4096;
  private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  private static final Pattern TOKEN = Pattern.compile("token (\\d+) x");

  private final Executor executor = Executors.newCachedThreadExecutor();
  private final CompletableFuture<CompletionResponse> started = new CompletableFuture<>();
  private final AtomicInteger cancellations = new AtomicInteger();
  private HttpServerContext server;

  @BeforeEach
  void start() throws Exception {
    server =
        HttpServers.forAddress(new InetSocketAddress("127.0.0.1", 0))
            .executor(executor)
            .executionStrategy(HttpExecutionStrategies.offloadNone())
            .listenStreamingAndAwait(
                (context, request, factory) -> {
                  CompletionResponse response =
                      new CompletionResponse(
                          new CallerResponses(factory, context, () -> false), true);
                  started.complete(response);
                  return response.response(cancellations::incrementAndGet);
                });
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
    executor.closeAsync().toFuture().get(HANG_SECONDS, TimeUnit.SECONDS);
  }

  // Guards against a streamed answer that is cut, or lacks tokens in its middle, because its caller
  // read more slowly than the engines generated.
  @Test
  void slowCallerReceivesAllTokens() throws Exception {
    try (Socket caller = new Socket()) {
      caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      caller.setSoTimeout(HANG_SECONDS * 1000);
      caller.connect(server.listenAddress());
      caller.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
      CompletionResponse response = started.get(HANG_SECONDS, TimeUnit.SECONDS);
      for (int i = 0; i < TOKENS; i++) {
        response.token("token " + i + " " + PADDING);
      }
      response.complete();

      String text = new String(caller.getInputStream().readAllBytes(), ISO_8859_1);

      assertEquals(0, cancellations.get());
      Matcher token = TOKEN.matcher(text);
      for (int i = 0; i < TOKENS; i++) {
        assertTrue(token.find(), "ended after " + i + " tokens");
        assertEquals(i, Integer.parseInt(token.group(1)));
      }
      assertTrue(text.contains("data: [DONE]"));
    }
  }
}
