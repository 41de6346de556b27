package org.vaneworks.tests.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Ordering;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.configuration.ConflictException;
import org.vaneworks.state.ConfigurationHead;

/** Step definitions for nodes, the platform's store and the configuration. */
public final class NodeSteps {
  private final World world;
  private final Map<String, CompletableFuture<Integer>> stops = new LinkedHashMap<>();
  private final Map<String, CompletableFuture<ConfigurationHead>> changes = new LinkedHashMap<>();
  private final Map<String, List<Long>> versions = new LinkedHashMap<>();

  /** Creates the step definitions of a scenario. */
  public NodeSteps(World world) {
    this.world = world;
  }

  /** Adds eight nodes. */
  @Given("eight nodes n1 to n8")
  public void eightNodes() {
    for (int i = 1; i <= 8; i++) {
      addNode("n" + i);
    }
  }

  /** Starts a node, or restarts one as a new run. */
  @When("{word} starts")
  public void addNode(String name) {
    Node node = world.fleet().addNode(name);
    List<Long> seen = versions.computeIfAbsent(name, each -> new ArrayList<>());
    seen.clear();
    node.configuration().onChange(snapshot -> seen.add(snapshot.version()));
  }

  /** Kills a node. */
  @When("node {word} is killed")
  public void kill(String name) {
    world.fleet().killNode(name);
  }

  /** Freezes a node. */
  @When("node {word} freezes")
  public void freeze(String name) {
    world.fleet().freezeNode(name);
  }

  /** Thaws a node. */
  @When("node {word} thaws")
  public void thaw(String name) {
    world.fleet().thawNode(name);
  }

  /** Starts a graceful stop of a node. */
  @When("{word} begins a planned stop")
  public void stop(String name) {
    stops.put(name, world.fleet().stopNode(name));
  }

  /** Waits for the end of a graceful stop and checks how many requests it aborted. */
  @Then("{word} stops with {int} requests cut")
  public void stopped(String name, int cutRequests) {
    world.await(name + " to stop", stops.get(name)::isDone);
    assertEquals(cutRequests, stops.get(name).join());
  }

  /** Cuts the connection from one node to another, in this direction only. */
  @When("the way from {word} to {word} is cut")
  public void cutConnection(String from, String to) {
    world.fleet().peers().blockLink(world.fleet().addressOf(from), world.fleet().addressOf(to));
  }

  /** Drops the next replies of a node to its peers. */
  @When("the next {int} replies of node {word} are lost")
  public void loseReplies(int count, String name) {
    world.fleet().peers().loseReplies(world.fleet().addressOf(name), count);
  }

  /** Makes the store unavailable. */
  @When("the store goes down")
  public void stopStore() {
    world.fleet().store().setDown(true);
  }

  /** Makes the store available again. */
  @When("the store is back")
  public void restoreStore() {
    world.fleet().store().setDown(false);
  }

  /** Delays the answers of the store. */
  @When("the store answers {int} ms late")
  public void slowStore(int millis) {
    world.fleet().store().delayAnswers(Duration.ofMillis(millis));
  }

  /** Drops the store's answers to the next writes, which take effect. */
  @When("the store writes the next {int} times without answering")
  public void loseAnswers(int count) {
    world.fleet().store().loseAnswers(count);
  }

  /** Drops the store's answers to the next writes of the head, which take effect. */
  @When("the store writes the head the next {int} times without answering")
  public void loseHeadAnswers(int count) {
    world.fleet().store().loseAnswers(count, "/head");
  }

  /** Starts a change of the template. */
  @When("operator {word} sets {int} tokens")
  public void change(String operator, int maxTokens) {
    changes.put(operator, world.fleet().apply(world.fleet().configuration(maxTokens)));
  }

  /** Starts a change that adds a workspace and leaves the template unchanged. */
  @When("operator {word} adds workspace {word}")
  public void addWorkspace(String operator, String workspace) {
    String yaml = "{kind: workspace, name: " + workspace + ", template: t}";
    changes.put(operator, world.fleet().apply(yaml));
  }

  /** Checks that a change was accepted. */
  @Then("operator {word}'s change is accepted as version {int}")
  public void accepted(String operator, int version) {
    CompletableFuture<ConfigurationHead> change = changes.get(operator);
    world.await(operator + "'s change", change::isDone);
    assertEquals(version, change.join().version());
  }

  /** Checks that of two changes to one template exactly one was accepted. */
  @Then("of operators {word} and {word} one wins and the other gets a conflict on {word}")
  public void conflict(String first, String second, String resource) {
    int won = 0;
    for (String operator : List.of(first, second)) {
      CompletableFuture<ConfigurationHead> change = changes.get(operator);
      world.await(operator + "'s change", change::isDone);
      if (!change.isCompletedExceptionally()) {
        won++;
        continue;
      }
      Throwable cause = change.handle((head, failure) -> Async.causeOf(failure)).join();
      assertTrue(cause instanceof ConflictException, () -> "not a conflict: " + cause);
      assertTrue(cause.getMessage().contains(resource), cause.getMessage());
    }
    assertEquals(1, won);
  }

  /** Checks that every node has activated a version within the given time. */
  @Then("version {int} is in force on every node within {int} ms")
  public void inForce(int version, int millis) {
    world
        .fleet()
        .clock()
        .advanceUntil(() -> oldestActiveVersion() >= version, Duration.ofMillis(millis));
    for (Node node : world.fleet().nodes()) {
      assertEquals(version, node.configuration().version(), node.settings().name());
    }
  }

  private long oldestActiveVersion() {
    return world.fleet().nodes().stream()
        .mapToLong(node -> node.configuration().version())
        .min()
        .orElse(0);
  }

  /** Checks that every node activated versions in increasing order. */
  @Then("no node ever went back to an older version")
  public void versionsIncrease() {
    versions.forEach(
        (node, seen) ->
            assertTrue(Ordering.natural().isStrictlyOrdered(seen), () -> node + " saw " + seen));
  }

  /** Checks that a node accepts requests. */
  @Then("{word} is ready")
  public void ready(String name) {
    assertEquals("READY", world.fleet().node(name).phase().name());
  }
}
