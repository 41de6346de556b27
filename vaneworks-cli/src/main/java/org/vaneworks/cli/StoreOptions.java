package org.vaneworks.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.configuration.ConfigurationEditor;
import org.vaneworks.protocol.ConfigurationJson;
import org.vaneworks.state.HostPort;
import org.vaneworks.transport.HttpPlatformStore;
import org.vaneworks.transport.HttpSender;
import picocli.CommandLine.Option;

/** Command-line options for the address of the platform's store and the output format. */
final class StoreOptions {
  private static final int THREADS = 2;

  @Option(
      names = "--platform",
      required = true,
      defaultValue = "${env:VANEWORKS_PLATFORM}",
      description = "IP number and port of the platform's store; or VANEWORKS_PLATFORM.")
  private String platform;

  @Option(
      names = {"-o", "--output"},
      defaultValue = "TABLE",
      description = "Form of the result: ${COMPLETION-CANDIDATES}.")
  private OutputFormat output;

  HostPort address() {
    return HostPort.parse(platform);
  }

  void print(JsonNode result) {
    System.out.println(output.print(result));
  }

  /** An asynchronous operation on the stored configuration. */
  @FunctionalInterface
  interface EditorOperation<T> {
    CompletableFuture<T> run(ConfigurationEditor editor);
  }

  /** Runs an operation, waits for its result and releases all resources. */
  <T> T edit(EditorOperation<T> operation) {
    Executor executor = Executors.newFixedSizeExecutor(THREADS);
    try (HttpSender sender = HttpSender.create(executor)) {
      ConfigurationEditor editor =
          ConfigurationEditor.create(
              executor,
              HttpPlatformStore.at(sender, address()),
              ConfigurationJson.create(),
              System::currentTimeMillis);
      return operation.run(editor).join();
    } catch (CompletionException e) {
      throw asUnchecked(Async.causeOf(e));
    } finally {
      executor.closeAsync().subscribe();
    }
  }

  private static RuntimeException asUnchecked(Throwable cause) {
    return cause instanceof RuntimeException unchecked ? unchecked : new CompletionException(cause);
  }
}
