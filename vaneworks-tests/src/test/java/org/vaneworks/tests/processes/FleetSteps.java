package org.vaneworks.tests.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.After;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.vaneworks.cli.VaneworksMain;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.daemon.DaemonMain;
import org.vaneworks.protocol.Json;
import org.vaneworks.protocol.PlatformJson;
import org.vaneworks.state.HostPort;
import org.vaneworks.testlib.ReferenceModel;
import org.vaneworks.testlib.StandInMain;

/** Step definitions for a fleet of separate processes. */
public final class FleetSteps {
  /** The CLI's exit code for a store that did not answer in time. */
  private static final int EXIT_STORE_UNAVAILABLE = 4;

  private static final int APPLY_ATTEMPTS = 10;

  private static final Pattern LISTENING = Pattern.compile("listening (\\S+)");
  private static final Pattern CALLERS = Pattern.compile("\"callers\":\"([^\"]+)\"");
  private static final Pattern PEERS = Pattern.compile("\"peers\":\"([^\"]+)\"");
  private static final int LAYERS = 12;
  private static final int STREAMS_PER_REPLACEMENT = 4;

  private final Processes processes = new Processes();
  private final Caller caller = new Caller();
  private final Set<String> registered = new HashSet<>();
  private final Map<String, Pattern> addressPatterns = new LinkedHashMap<>();
  private final Map<String, Caller.StreamedAnswer> streams = new LinkedHashMap<>();
  private final Map<String, String> tickets = new LinkedHashMap<>();
  private String platform = "";
  private HttpResponse<String> lastResponse;

  /** Kills all processes of the scenario and, if it failed, prints their logs. */
  @After
  public void end(Scenario scenario) throws Exception {
    processes.close();
    if (scenario.isFailed()) {
      System.out.println("logs of the failed scenario: " + scenario.getName());
      System.out.println(processes.logs());
    }
  }

  /** Starts the platform stand-in. */
  @Given("a platform")
  public void platform() throws Exception {
    processes.start("platform", StandInMain.class.getName(), "platform");
    platform = processes.awaitLine("platform", LISTENING);
  }

  /**
   * Waits until a process listens and returns its address; processes start concurrently. Adds the
   * box of a new node to the platform's list.
   */
  private String addressOf(String name) throws Exception {
    String address = processes.awaitLine(name, addressPatterns.get(name));
    if (addressPatterns.get(name).equals(CALLERS) && registered.add(name)) {
      register(name);
    }
    return address;
  }

  /** Adds a node's box to the box list, as the platform does for each new box. */
  private void register(String name) throws Exception {
    HostPort peers = HostPort.parse(processes.awaitLine(name, PEERS));
    Box box = new Box(name, Box.Role.ENTRY, peers, "dc1", false);
    String body = Json.write(PlatformJson.writeBox(box));
    assertEquals(
        200, caller.send(platform, "POST", PlatformJson.BOXES_PATH, body, Map.of()).statusCode());
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
    addressPatterns.put(name, LISTENING);
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
    addressPatterns.put(name, LISTENING);
  }

  /** Starts two nodes. */
  @Given("nodes {word} and {word}")
  public void nodes(String first, String second) throws Exception {
    node(first);
    node(second);
  }

  /** Replaces a node as a rolling update does: a graceful shutdown, then a new incarnation. */
  @When("{word} is stopped gracefully and replaced")
  public void replace(String name) throws Exception {
    processes.signal(name, "TERM");
    assertEquals(0, processes.exitCode(name), processes.log(name));
    node(name);
    awaitReady(name);
  }

  /** Kills a node and replaces it. */
  @When("{word} is killed and replaced")
  public void killAndReplace(String name) throws Exception {
    processes.signal(name, "KILL");
    node(name);
    awaitReady(name);
  }

  private void awaitReady(String name) throws Exception {
    String address = addressOf(name);
    Processes.await(
        name + " to be ready",
        () -> caller.send(address, "GET", "/health/ready", "", Map.of()).statusCode() == 200);
  }

  /** Waits until two nodes list each other as alive members. */
  @Given("{word} and {word} have discovered each other")
  public void discoverEachOther(String first, String second) throws Exception {
    Processes.await(first + " to discover " + second, () -> hasDiscovered(first, second));
    Processes.await(second + " to discover " + first, () -> hasDiscovered(second, first));
  }

  private boolean hasDiscovered(String node, String other) throws Exception {
    String status = caller.send(addressOf(node), "GET", "/status", "", Map.of()).body();
    for (JsonNode member : Json.parse(status).path("members")) {
      String identity = member.path("member").asText();
      if (identity.startsWith(other + "~") && member.path("status").asText().equals("ALIVE")) {
        return true;
      }
    }
    return false;
  }

  /** Requests a ticket from a node. */
  @When("ticket {word} is issued by {word}")
  public void ticket(String name, String node) throws Exception {
    HttpResponse<String> response =
        caller.send(addressOf(node), "POST", "/v1/tickets?count=1", "", Map.of());
    tickets.put(name, Json.parse(response.body()).at("/tickets/0").asText());
  }

  /** Confirms a swap with a ticket. */
  @When("swap {int} is confirmed at {word} with ticket {word}")
  public void confirmWithTicket(int swap, String node, String ticket) throws Exception {
    confirm(swap, node, "vaneworks-ticket", tickets.get(ticket));
  }

  /** Confirms a swap with an idempotency key. */
  @When("swap {int} is confirmed at {word} with key {word}")
  public void confirmWithKey(int swap, String node, String key) throws Exception {
    confirm(swap, node, "idempotency-key", key);
  }

  private void confirm(int swap, String node, String header, String value) throws Exception {
    String path = "/v1/workspaces/ward/services/records/confirm";
    String body = "{\"swap\":" + swap + "}";
    lastResponse = caller.send(addressOf(node), "POST", path, body, Map.of(header, value));
  }

  /** Checks how often the service ran a confirmation, by its own ledger. */
  @Then("swap {int} ran {int} time(s)")
  public void swapRan(int swap, int times) throws Exception {
    JsonNode ledger =
        Json.parse(caller.send(addressOf("records"), "GET", "/ledger", "", Map.of()).body());
    assertEquals(
        times, ledger.path("POST /confirm {\"swap\":" + swap + "}").asInt(), ledger.toString());
  }

  /** Sets the injected faults of the store. */
  @When("the store's faults are set to {string}")
  public void setFaults(String body) throws Exception {
    assertEquals(200, caller.send(platform, "POST", "/fault", body, Map.of()).statusCode());
  }

  /** Streams from all nodes while they are replaced one after the other. */
  @When("callers stream from {word}, {word} and {word} while each node is replaced in turn")
  public void rollingUpdate(String first, String second, String third) throws Exception {
    List<String> names = List.of(first, second, third);
    for (String replaced : names) {
      for (int i = 0; i < STREAMS_PER_REPLACEMENT; i++) {
        for (String node : names) {
          stream(replaced + "-" + node + "-" + i, 120, node, "ward");
        }
      }
      for (int i = 0; i < STREAMS_PER_REPLACEMENT; i++) {
        for (String node : names) {
          streams.get(replaced + "-" + node + "-" + i).awaitFirstTokens();
        }
      }
      replace(replaced);
      canAnswer(replaced, "ward");
    }
  }

  /** Checks all streamed answers of the scenario. */
  @Then("every caller has the complete, correct answer of {int} tokens")
  public void everyAnswerIsCorrect(int tokens) {
    streams.keySet().forEach(name -> correctAnswer(name, tokens));
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
    addressPatterns.put(name, CALLERS);
    registered.remove(name);
  }

  /** Applies a sample configuration; retries while the store does not answer. */
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
    applyUntilTheStoreAnswers("apply" + version, file);
  }

  /**
   * Applies a configuration and retries while the store does not answer. A retry is safe because
   * that exit code means that nothing was changed.
   */
  private void applyUntilTheStoreAnswers(String name, Path file) throws Exception {
    for (int attemptsLeft = APPLY_ATTEMPTS; ; attemptsLeft--) {
      String attemptName = name + "-" + attemptsLeft;
      processes.start(
          attemptName,
          VaneworksMain.class.getName(),
          "apply",
          "--platform=" + platform,
          file.toString());
      int exit = processes.exitCode(attemptName);
      if (exit != EXIT_STORE_UNAVAILABLE || attemptsLeft == 1) {
        assertEquals(0, exit, processes.log(attemptName));
        return;
      }
    }
  }

  /** Waits until a configuration version is in force on two nodes. */
  @Then("version {int} is in force on {word} and {word}")
  public void versionInForce(int version, String first, String second) throws Exception {
    for (String node : List.of(first, second)) {
      Processes.await("version " + version + " on " + node, () -> versionOn(node) == version);
    }
  }

  private long versionOn(String node) throws Exception {
    HttpResponse<String> status = caller.send(addressOf(node), "GET", "/status", "", Map.of());
    return Json.parse(status.body()).path("version").asLong();
  }

  /** Waits until a node can answer requests of a workspace. */
  @Given("{word} can answer workspace {word}")
  public void canAnswer(String node, String workspace) throws Exception {
    Processes.await(
        node + " to answer",
        () ->
            caller.complete(addressOf(node), workspace, "warm up", 1, Map.of()).statusCode()
                == 200);
  }

  /** Waits until nodes have discovered a plain service; each polls the box list at its own time. */
  @Given("{word}, {word} and {word} can use {word}")
  public void canUse(String first, String second, String third, String service) throws Exception {
    for (String node : List.of(first, second, third)) {
      canUse(node, service);
    }
  }

  /** Waits until a node has discovered a plain service. */
  @Given("{word} can use {word}")
  public void canUse(String node, String service) throws Exception {
    Processes.await(node + " to use " + service, () -> canUseService(node, service));
  }

  private boolean canUseService(String node, String service) throws Exception {
    String status = caller.send(addressOf(node), "GET", "/status", "", Map.of()).body();
    for (JsonNode endpoint : Json.parse(status).path("endpoints")) {
      if (endpoint.path("serves").asText().equals(service) && endpoint.path("usable").asBoolean()) {
        return true;
      }
    }
    return false;
  }

  /** Starts a streamed request. */
  @When("caller {word} streams {int} tokens from {word} for workspace {word}")
  public void stream(String name, int tokens, String node, String workspace) throws Exception {
    streams.put(name, caller.stream(addressOf(node), workspace, "prompt of " + name, tokens));
  }

  /** Sends a signal to a process in the middle of a stream. */
  @When("in the middle of {word}'s stream {word} receives signal {word}")
  public void signal(String name, String process, String signal) throws Exception {
    streams.get(name).awaitFirstTokens();
    processes.signal(process, signal);
  }

  /** Sends a signal to a process. */
  @When("{word} receives signal {word}")
  public void signalNow(String process, String signal) throws Exception {
    processes.signal(process, signal);
  }

  /** Checks a streamed answer against the reference model. */
  @Then("caller {word} has the complete, correct answer of {int} tokens")
  public void correctAnswer(String name, int tokens) {
    Caller.StreamedAnswer answer = streams.get(name);
    assertTrue(answer.isComplete(), answer.error());
    assertEquals(ReferenceModel.answer("prompt of " + name, LAYERS, tokens), answer.tokens());
  }

  /** Checks the exit code of a process. */
  @Then("{word} exits with code {int}")
  public void exitsWith(String process, int code) throws Exception {
    assertEquals(code, processes.exitCode(process), processes.log(process));
  }

  /** Sends a request and keeps the answer for the next steps. */
  @When("a caller sends {word} {word} to {word} with body {string}")
  public void send(String method, String path, String node, String body) throws Exception {
    lastResponse = caller.send(addressOf(node), method, path, body, Map.of());
  }

  /** Sends a request with an additional header. */
  @When("a caller sends {word} {word} to {word} with body {string} and header {word} {string}")
  public void sendWith(
      String method, String path, String node, String body, String header, String value)
      throws Exception {
    lastResponse = caller.send(addressOf(node), method, path, body, Map.of(header, value));
  }

  /** Sends a long prompt. */
  @When("a caller sends a prompt of {int} characters to {word}")
  public void sendLong(int characters, String node) throws Exception {
    String body = "{\"prompt\":\"" + "x".repeat(characters) + "\"}";
    send("POST", "/v1/workspaces/ward/completions", node, body);
  }

  /** Checks a header of the kept answer. */
  @Then("the answer's header {word} is {word}")
  public void header(String name, String value) {
    assertEquals(value, lastResponse.headers().firstValue(name).orElse("absent"));
  }

  /** Checks that the kept answer is a refusal with a status, reason and verdict. */
  @Then("the answer has status {int}, reason {word} and verdict {word}")
  public void refused(int status, String reason, String verdict) {
    assertEquals(status, lastResponse.statusCode(), lastResponse.body());
    assertEquals(reason, Json.parse(lastResponse.body()).path("reason").asText());
    assertEquals(verdict, Json.parse(lastResponse.body()).path("verdict").asText());
    assertEquals(verdict, lastResponse.headers().firstValue("vaneworks-verdict").orElse(""));
  }

  /** Checks the kept answer of a plain service. */
  @Then("the service answers that it ran {int} time")
  public void ranTimes(int times) {
    assertEquals(200, lastResponse.statusCode(), lastResponse.body());
    assertEquals(times, Json.parse(lastResponse.body()).path("runs").asInt());
  }
}
