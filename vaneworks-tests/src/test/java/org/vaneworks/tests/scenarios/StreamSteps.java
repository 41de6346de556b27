package org.vaneworks.tests.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.NodeLimits;
import org.vaneworks.coordination.pipeline.PipelineLimits;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Refusal;
import org.vaneworks.telemetry.Metric;
import org.vaneworks.testlib.EngineCore;
import org.vaneworks.testlib.LedgerEntry;
import org.vaneworks.testlib.RecordedAnswer;

/** Step definitions for engines and streams. */
public final class StreamSteps {
  private final World world;

  /** Creates the step definitions of a scenario. */
  public StreamSteps(World world) {
    this.world = world;
  }

  /** Adds an engine. */
  @Given("engine {word} with layers {int} to {int} and a step of {int} ms")
  public void engine(String box, int from, int to, int stepMillis) {
    EngineCore unused = world.fleet().addEngine(box, from, to, stepMillis);
  }

  /** Adds a node. */
  @Given("node {word}")
  public void node(String name) {
    var unused = world.fleet().addNode(name);
  }

  /** Adds a node that stores few step inputs for rebuilding streams. */
  @Given("node {word} keeps {int} characters to rebuild a stream")
  public void nodeWithReplayLimit(String name, int characters) {
    PipelineLimits defaults = PipelineLimits.defaults();
    PipelineLimits small =
        new PipelineLimits(
            defaults.maxReplacements(),
            defaults.recoveryTimeout(),
            defaults.migrationThreshold(),
            characters);
    var unused = world.fleet().addNode(name, NodeLimits.defaults().withStreams(small));
  }

  /** Activates the default configuration on all nodes. */
  @Given("the fleet has settled")
  public void settled() {
    world.fleet().settle();
  }

  /** Starts a repeatable request. */
  @When("{word} asks {word} for {int} tokens")
  public void ask(String caller, String node, int tokens) {
    world.ask(caller, node, tokens, CallerOptions.NONE);
  }

  /** Starts a request that is not repeatable. */
  @When("{word} asks {word} for {int} tokens, not repeatable")
  public void askNotRepeatable(String caller, String node, int tokens) {
    CallerOptions notRepeatable =
        new CallerOptions(
            Optional.of(false),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());
    world.ask(caller, node, tokens, notRepeatable);
  }

  /** Starts many requests at once. */
  @When("{int} callers ask {word} for {int} tokens each")
  public void askMany(int count, String node, int tokens) {
    for (int i = 0; i < count; i++) {
      world.ask("caller" + i, node, tokens, CallerOptions.NONE);
    }
  }

  /** Advances the clock until a stream has a number of tokens. */
  @When("{word} has {int} tokens")
  public void hasTokens(String caller, int tokens) {
    RecordedAnswer answer = world.answer(caller);
    world.await(caller + "'s tokens", () -> answer.tokens().size() >= tokens || answer.isEnded());
    assertFalse(answer.isEnded(), () -> "ended early: " + answer.refusal());
  }

  /** Advances the clock. */
  @When("{int} ms pass")
  public void advanceClock(int millis) {
    world.fleet().clock().advance(Duration.ofMillis(millis));
  }

  /** Kills an engine. */
  @When("{word} is killed")
  public void kill(String box) {
    world.fleet().endpoints().kill(addressOf(box));
  }

  /** Freezes an engine. */
  @When("{word} freezes")
  public void freeze(String box) {
    world.fleet().endpoints().freeze(addressOf(box));
  }

  /** Thaws an engine. */
  @When("{word} thaws")
  public void thaw(String box) {
    world.fleet().endpoints().thaw(addressOf(box));
  }

  /** Drops the next answers of an engine. */
  @When("the next {int} answers of {word} are lost")
  public void loseAnswers(int count, String box) {
    world.fleet().endpoints().loseAnswers(addressOf(box), count);
  }

  /** Swaps the next answers of an engine between streams. */
  @When("the next {int} answers of {word} are exchanged between streams")
  public void exchangeAnswers(int count, String box) {
    world.fleet().endpoints().exchangeAnswers(addressOf(box), count);
  }

  /** Marks an engine as leaving in the platform's box list. */
  @When("the box list says that {word} is leaving")
  public void leaving(String box) {
    world.fleet().boxes().markLeaving(box);
  }

  /** Removes a box from the platform's box list. */
  @When("the box list no longer has {word}")
  public void unlisted(String box) {
    world.fleet().boxes().remove(box);
  }

  /** Checks that the connections to an endpoint were closed. */
  @Then("connections to {word} are let go of")
  public void connectionsClosed(String box) {
    assertTrue(world.fleet().endpoints().forgotten().contains(addressOf(box)));
  }

  private HostPort addressOf(String box) {
    return world.fleet().addressOf(box);
  }

  /** Waits until all requests have ended and checks their answers. */
  @Then("every answer is whole and right")
  public void everyAnswerIsWhole() {
    world.answers().keySet().forEach(this::answerIsWhole);
  }

  /** Waits until a request has ended and checks its answer. */
  @Then("{word}'s answer is whole and right")
  public void answerIsWhole(String caller) {
    awaitEnd(caller);
    RecordedAnswer answer = world.answer(caller);
    assertTrue(answer.isComplete(), () -> caller + ": " + answer.refusal());
    checkGuarantees(caller);
  }

  /**
   * Waits until a request has ended, and checks its refusal and that the tokens received are a
   * prefix of the correct answer.
   */
  @Then("{word}'s answer ends with reason {word} and verdict {word}")
  public void endsWith(String caller, String reason, String verdict) {
    awaitEnd(caller);
    Refusal refusal = world.answer(caller).refusal().orElseThrow();
    assertEquals(reason, refusal.reason().code(), refusal.toString());
    assertEquals(verdict, refusal.verdict().name(), refusal.toString());
    checkGuarantees(caller);
  }

  private void awaitEnd(String caller) {
    RecordedAnswer answer = world.answer(caller);
    world.await(caller + "'s end", answer::isEnded);
    // Late answers must not change the result.
    world.fleet().clock().advance(Duration.ofSeconds(10));
  }

  private void checkGuarantees(String caller) {
    ImmutableList<String> problems =
        world
            .fleet()
            .verifier()
            .problemsOf(world.answer(caller), world.length(caller), world.isRepeatable(caller));
    assertEquals(ImmutableList.of(), problems);
  }

  /** Checks that no step of any stream was run again, not even to rebuild a session. */
  @Then("nothing ran twice")
  public void nothingRanTwice() {
    for (EngineCore engine : world.fleet().endpoints().engines()) {
      assertTrue(engine.ledger().stream().noneMatch(LedgerEntry::rebuilt), "a session was rebuilt");
    }
  }

  /** Checks that no part of a request ran. */
  @Then("no engine ran any part of {word}'s request")
  public void nothingRan(String caller) {
    String prompt = world.answer(caller).prompt();
    assertEquals(ImmutableList.of(), world.fleet().verifier().runsOf(prompt));
  }

  /** Checks that a node dropped at least a number of answers for the given reason. */
  @Then("{word} dropped at least {int} {word} answers")
  public void dropped(String node, int count, String reason) {
    double value = world.fleet().counters(node).value(Metric.DROPPED_ANSWERS, reason);
    assertTrue(value >= count, () -> "dropped " + value);
  }

  /** Freezes the engine that most recently ran the first layers of a stream. */
  @When("the engine that runs {word}'s first layers freezes")
  public void freezeFirstEngine(String caller) {
    ImmutableList<LedgerEntry> runs =
        world.fleet().verifier().runsOf(world.answer(caller).prompt());
    int newest = runs.stream().mapToInt(LedgerEntry::step).max().orElseThrow();
    for (EngineCore engine : world.fleet().endpoints().engines()) {
      boolean isCurrent =
          engine.options().endpoint().layers().get().from() == 0
              && engine.ledger().stream()
                  .anyMatch(run -> run.step() >= newest - 1 && runs.contains(run));
      if (isCurrent) {
        world.fleet().endpoints().freeze(engine.options().endpoint().address());
      }
    }
  }

  /** Checks that a stream has received at least a number of tokens. */
  @Then("{word} has got at least {int} tokens")
  public void hasAtLeast(String caller, int least) {
    int tokens = world.answer(caller).tokens().size();
    assertTrue(tokens >= least, () -> "only " + tokens + " tokens");
  }

  /** Checks that an engine runs no more steps. */
  @Then("{word} runs nothing more")
  public void runsNothingMore(String box) {
    EngineCore engine = engineOf(box);
    int before = engine.ledger().size();
    world.fleet().clock().advance(Duration.ofSeconds(2));
    assertEquals(before, engine.ledger().size());
  }

  private EngineCore engineOf(String box) {
    for (EngineCore engine : world.fleet().endpoints().engines()) {
      if (engine.options().endpoint().id().box().equals(box)) {
        return engine;
      }
    }
    throw new AssertionError("no engine " + box);
  }

  /** Checks that no engine holds a session any more. */
  @Then("no live engine holds a session")
  public void noSessions() {
    world.fleet().clock().advance(Duration.ofSeconds(10));
    for (EngineCore engine : world.fleet().endpoints().engines()) {
      assertEquals(0, engine.sessions(), engine.options().endpoint().id().toString());
    }
  }
}
