package org.vaneworks.testlib;

import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.http.api.HttpServerContext;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.protocol.Json;
import org.vaneworks.protocol.PlatformJson;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Starts stand-ins for external systems as separate processes. */
@Command(
    name = "standin",
    description = "Starts a stand-in for an outside system.",
    subcommands = {StandInMain.Platform.class, StandInMain.Engine.class, StandInMain.Service.class})
public final class StandInMain {
  private static final int THREADS = 4;

  private StandInMain() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    int code = new CommandLine(new StandInMain()).execute(args);
    if (code != 0) {
      System.exit(code);
    }
  }

  private abstract static class Server implements Callable<Integer> {
    @Option(names = "--listen", defaultValue = "127.0.0.1:0", description = "IP number and port.")
    private String listen;

    final HostPort address() {
      return HostPort.parse(listen);
    }

    abstract HttpServerContext open(Executor executor) throws Exception;

    @Override
    public final Integer call() throws Exception {
      HttpServerContext server = open(Executors.newFixedSizeExecutor(THREADS));
      System.out.println("listening " + StandInServer.addressOf(server));
      server.awaitShutdown();
      return 0;
    }
  }

  @Command(name = "platform", description = "Key-value store and box list.")
  static final class Platform extends Server {
    @Override
    HttpServerContext open(Executor executor) throws Exception {
      return PlatformServer.listen(
          address(), executor, StoreCore.create(executor), BoxListCore.create());
    }
  }

  private abstract static class EndpointServer extends Server {
    /** One minute in total, because the platform's process may start slowly on a busy machine. */
    private static final int REGISTRATION_ATTEMPTS = 12;

    @Option(names = "--box", required = true, description = "The box's name.")
    String box;

    @Option(names = "--platform", required = true, description = "Where to be listed.")
    private String platform;

    @Option(names = "--data-centre", defaultValue = "dc1", description = "Where the box stands.")
    String dataCentre;

    @Option(names = "--serves", required = true, description = "Model or service name.")
    String serves;

    final String incarnation = UUID.randomUUID().toString().substring(0, 8);

    /**
     * Adds the endpoint's box to the platform's list. Retries after a timeout, which is safe
     * because the request is idempotent.
     */
    final HttpServerContext register(HttpServerContext server) throws Exception {
      HttpRequest request = registrationRequest(server);
      HttpClient client = HttpClient.newHttpClient();
      for (int attemptsLeft = REGISTRATION_ATTEMPTS; ; attemptsLeft--) {
        try {
          client.send(request, HttpResponse.BodyHandlers.discarding());
          return server;
        } catch (HttpTimeoutException e) {
          if (attemptsLeft == 1) {
            throw e;
          }
        }
      }
    }

    private HttpRequest registrationRequest(HttpServerContext server) {
      HostPort boundAddress = StandInServer.addressOf(server);
      Box listedBox = new Box(box, Box.Role.ENDPOINT, boundAddress, dataCentre, false);
      return HttpRequest.newBuilder(URI.create("http://" + platform + PlatformJson.BOXES_PATH))
          .timeout(Duration.ofSeconds(5))
          .POST(HttpRequest.BodyPublishers.ofString(Json.write(PlatformJson.writeBox(listedBox))))
          .build();
    }

    final Endpoint endpoint(
        HostPort boundAddress, Optional<LayerRange> layers, String accelerator) {
      return new Endpoint(
          new EndpointId(box, incarnation),
          boundAddress,
          dataCentre,
          serves,
          layers,
          accelerator,
          true);
    }
  }

  @Command(name = "engine", description = "A model engine with one layer range.")
  static final class Engine extends EndpointServer {
    @Option(names = "--layers", required = true, description = "Layers held, as FROM-TO.")
    private String layers;

    @Option(names = "--model-layers", required = true, description = "Layers of the model.")
    private int modelLayers;

    @Option(names = "--step-ms", defaultValue = "8", description = "Time of a lone step.")
    private double stepMillis;

    @Option(names = "--accelerator", defaultValue = "a", description = "Kind of accelerator.")
    private String accelerator;

    @Override
    HttpServerContext open(Executor executor) throws Exception {
      String[] parts = layers.split("-", -1);
      LayerRange range = LayerRange.of(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
      return register(
          EngineServer.listen(
              address(), executor, boundAddress -> engine(boundAddress, range, executor)));
    }

    private EngineCore engine(HostPort boundAddress, LayerRange range, Executor executor) {
      EngineOptions options =
          EngineOptions.of(
              endpoint(boundAddress, Optional.of(range), accelerator), modelLayers, stepMillis);
      return EngineCore.create(options, executor);
    }
  }

  @Command(name = "service", description = "A plain service that counts its calls.")
  static final class Service extends EndpointServer {
    @Override
    HttpServerContext open(Executor executor) throws Exception {
      return register(
          ServiceServer.listen(
              address(),
              executor,
              ServiceCore.create(),
              boundAddress -> endpoint(boundAddress, Optional.empty(), "")));
    }
  }
}
