package org.vaneworks.tests.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.vaneworks.cli.VaneworksMain;
import org.vaneworks.daemon.DaemonMain;
import org.vaneworks.protocol.Json;
import org.vaneworks.testlib.ReferenceModel;
import org.vaneworks.testlib.StandInMain;

/** Steps over a fleet of separate processes. */
public final class FleetSteps {
  private static final Pattern LISTENING = Pattern.compile("listening (\\S+)");
  private static final Pattern CALLERS = Pattern.compile("callers=\"([^\"]+)\"");
  private static final int LAYERS = 12;

  private final Processes processes = new Processes();
  private final Caller caller = new Caller();
  private final Map<String, String> addresses = new LinkedHashMap<>();
  private final Map<String, Caller.Streamed> streams = new LinkedHashMap<>();
  private String platform = "";
  private HttpResponse<String> last;

  /** Ends every process of the scenario. */
  @After
  public void end() {
    processes.close();
  }

  /** Starts the platform. */
  @Given("a platform")
  public void platform() throws Exception {
    processes.start("platform", StandInMain.class.getName(), "platform");
    platform = processes.awaitLine("platform", LISTENING);
  }

  /** Starts an engine. */
  @Given("an engine {word} with layers {word} and a step of {int} ms")
  public void engine(String name, String layers, int stepMillis) throws Exception {
    processes.start(
        name,
        StandInMain.class.getName(),
        "engine",
        "--box=" + name,
        "--platform=" + platform,
        "--serves=model",
        "--model-layers=" + LAYERS,
        "--layers=" + layers,
        "--step-ms=" + stepMillis);
    addresses.put(name, processes.awaitLine(name, LISTENING));
  }

  /** Starts a plain service. */
  @Given("a plain service {word}")
  public void service(String name) throws Exception {
    processes.start(
        name,
        StandInMain.class.getName(),
        "service",
        "--box=" + name,
        "--platform=" + platform,
        "--serves=" + name);
    addresses.put(name, processes.awaitLine(name, LISTENING));
  }

  /** Starts nodes. */
  @Given("nodes {word} and {word}")
  public void nodes(String first, String second) throws Exception {
    node(first);
    node(second);
  }

  /** Starts a node. */
  @Given("a node {word}")
  public void node(String name) throws Exception {
    Path settings =
        processes.write(
            name + ".yaml",
            "{name: "
                + name
                + ", dataCentre: dc1, callers: '127.0.0.1:0', peers: '127.0.0.1:0', platform: '"
                + platform
                + "', stop: {balancerLagMs: 300, deadlineMs: 60000}}");
    processes.start(name, DaemonMain.class.getName(), "--settings=" + settings);
    addresses.put(name, processes.awaitLine(name, CALLERS));
  }

  /** Applies a sample configuration and waits until it is in force. */
  @When("the configuration with {int} tokens for workspace {word} is applied as version {int}")
  public void apply(int maxTokens, String workspace, int version) throws Exception {
    Path file =
        processes.write(
            "change" + version + ".yaml",
            "{kind: template, name: t, model: {name: model, layers: "
                + LAYERS
                + "}, services: [{name: records, calls: [{method: POST, pathPrefix: /confirm}]}],"
                + " limits: {maxTokens: "
                + maxTokens
                + "}, bounds: {firstTokenMs: 30000, betweenTokensMs: 5000}}\n---\n"
                + "{kind: workspace, name: "
                + workspace
                + ", template: t}\n");
    String run = "apply" + version;
    processes.start(
        run, VaneworksMain.class.getName(), "apply", "--platform=" + platform, file.toString());
    assertEquals(0, processes.exitCode(run), processes.log(run));
  }

  /** Waits until a version is in force. */
  @Then("version {int} is in force on {word} and {word}")
  public void inForce(int version, String first, String second) throws Exception {
    for (String node : List.of(first, second)) {
      Processes.await("version " + version + " on " + node, () -> versionOn(node) == version);
    }
  }

  private long versionOn(String node) throws Exception {
    HttpResponse<String> status = caller.send(addresses.get(node), "GET", "/status", "", Map.of());
    return Json.parse(status.body()).path("version").asLong();
  }

  /** Waits until a node routes over the engines. */
  @Given("{word} can answer workspace {word}")
  public void canAnswer(String node, String workspace) throws Exception {
    Processes.await(
        node + " to answer",
        () ->
            caller.whole(addresses.get(node), workspace, "warm up", 1, Map.of()).statusCode()
                == 200);
  }

  /** Starts a streamed request. */
  @When("caller {word} streams {int} tokens from {word} for workspace {word}")
  public void stream(String name, int tokens, String node, String workspace) {
    streams.put(name, caller.stream(addresses.get(node), workspace, "prompt of " + name, tokens));
  }

  /** Sends a signal in the middle of a stream. */
  @When("in the middle of {word}'s stream {word} gets signal {word}")
  public void signal(String name, String process, String signal) throws Exception {
    streams.get(name).awaitMiddle();
    processes.signal(process, signal);
  }

  /** Checks a streamed answer against the reference. */
  @Then("caller {word} has the whole right answer of {int} tokens")
  public void wholeAnswer(String name, int tokens) {
    Caller.Streamed answer = streams.get(name);
    assertTrue(answer.isWhole(), answer.error());
    assertEquals(ReferenceModel.answer("prompt of " + name, LAYERS, tokens), answer.tokens());
  }

  /** Checks how a process ended. */
  @Then("{word} ends with exit code {int}")
  public void endsWith(String process, int code) throws Exception {
    assertEquals(code, processes.exitCode(process), processes.log(process));
  }

  /** Sends a request whose answer is kept for the next step. */
  @When("a caller sends {word} {word} to {word} with body {string}")
  public void send(String method, String path, String node, String body) throws Exception {
    last = caller.send(addresses.get(node), method, path, body, Map.of());
  }

  /** Sends a request with a header. */
  @When("a caller sends {word} {word} to {word} with body {string} and header {word} {string}")
  public void sendWith(
      String method, String path, String node, String body, String header, String value)
      throws Exception {
    last = caller.send(addresses.get(node), method, path, body, Map.of(header, value));
  }

  /** Checks the kept answer. */
  @Then("the answer has status {int}, reason {word} and verdict {word}")
  public void refused(int status, String reason, String verdict) {
    assertEquals(status, last.statusCode(), last.body());
    assertEquals(reason, Json.parse(last.body()).path("reason").asText());
    assertEquals(verdict, Json.parse(last.body()).path("verdict").asText());
    assertEquals(verdict, last.headers().firstValue("vaneworks-verdict").orElse(""));
  }

  /** Checks the kept answer of a plain service. */
  @Then("the service answers that it ran {int} time")
  public void ranTimes(int times) {
    assertEquals(200, last.statusCode(), last.body());
    assertEquals(times, Json.parse(last.body()).path("runs").asInt());
  }
}
