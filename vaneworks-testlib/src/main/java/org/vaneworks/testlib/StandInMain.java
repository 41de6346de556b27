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

/** Starts stand-ins as processes of their own. */
@Command(
    name = "standin",
    description = "Starts a stand-in for an outside system.",
    subcommands = {StandInMain.Platform.class, StandInMain.Engine.class, StandInMain.Service.class})
public final class StandInMain {
  private static final int POOL = 4;

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
      HttpServerContext server = open(Executors.newFixedSizeExecutor(POOL));
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
    /** A minute in all: the platform's process may still be starting on a busy machine. */
    private static final int ENLIST_TRIES = 12;

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
     * Puts the endpoint's box into the platform's list, as its operator would: again if there was
     * no answer, which changes nothing if it was done.
     */
    final HttpServerContext enlist(HttpServerContext server) throws Exception {
      HttpRequest request = entryRequest(server);
      HttpClient client = HttpClient.newHttpClient();
      for (int left = ENLIST_TRIES; ; left--) {
        try {
          client.send(request, HttpResponse.BodyHandlers.discarding());
          return server;
        } catch (HttpTimeoutException e) {
          if (left == 1) {
            throw e;
          }
        }
      }
    }

    private HttpRequest entryRequest(HttpServerContext server) {
      HostPort own = StandInServer.addressOf(server);
      Box entry = new Box(box, Box.Role.ENDPOINT, own, dataCentre, false);
      return HttpRequest.newBuilder(URI.create("http://" + platform + PlatformJson.BOXES_PATH))
          .timeout(Duration.ofSeconds(5))
          .POST(HttpRequest.BodyPublishers.ofString(Json.write(PlatformJson.writeBox(entry))))
          .build();
    }

    final Endpoint endpoint(HostPort own, Optional<LayerRange> layers, String accelerator) {
      return new Endpoint(
          new EndpointId(box, incarnation), own, dataCentre, serves, layers, accelerator, true);
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
      return enlist(EngineServer.listen(address(), executor, own -> engine(own, range, executor)));
    }

    private EngineCore engine(HostPort own, LayerRange range, Executor executor) {
      EngineOptions options =
          EngineOptions.of(endpoint(own, Optional.of(range), accelerator), modelLayers, stepMillis);
      return EngineCore.create(options, executor);
    }
  }

  @Command(name = "service", description = "A plain service that counts its calls.")
  static final class Service extends EndpointServer {
    @Override
    HttpServerContext open(Executor executor) throws Exception {
      return enlist(
          ServiceServer.listen(
              address(),
              executor,
              ServiceCore.create(),
              own -> endpoint(own, Optional.empty(), "")));
    }
  }
}
