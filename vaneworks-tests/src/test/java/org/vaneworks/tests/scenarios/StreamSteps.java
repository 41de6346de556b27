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

/** Steps on engines and streams. */
public final class StreamSteps {
  private final World world;

  /** Takes the scenario's world. */
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

  /** Adds a node that keeps little to rebuild streams with. */
  @Given("node {word} keeps {int} characters to rebuild a stream")
  public void forgetfulNode(String name, int characters) {
    PipelineLimits usual = PipelineLimits.defaults();
    PipelineLimits small =
        new PipelineLimits(
            usual.maxReplacements(), usual.recoveryPatience(), usual.moveOver(), characters);
    var unused = world.fleet().addNode(name, NodeLimits.defaults().withStreams(small));
  }

  /** Puts the usual configuration in force. */
  @Given("the fleet has settled")
  public void settled() {
    world.fleet().settle();
  }

  /** Starts a repeatable request. */
  @When("{word} asks {word} for {int} tokens")
  public void asks(String caller, String node, int tokens) {
    world.ask(caller, node, tokens, CallerOptions.NONE);
  }

  /** Starts a request that is not repeatable. */
  @When("{word} asks {word} for {int} tokens, not repeatable")
  public void asksOnce(String caller, String node, int tokens) {
    CallerOptions once =
        new CallerOptions(
            Optional.of(false),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());
    world.ask(caller, node, tokens, once);
  }

  /** Starts many requests at once. */
  @When("{int} callers ask {word} for {int} tokens each")
  public void manyAsk(int count, String node, int tokens) {
    for (int i = 0; i < count; i++) {
      world.ask("caller" + i, node, tokens, CallerOptions.NONE);
    }
  }

  /** Lets a stream get to a token. */
  @When("{word} has {int} tokens")
  public void hasTokens(String caller, int tokens) {
    RecordedAnswer answer = world.answer(caller);
    world.await(caller + "'s tokens", () -> answer.tokens().size() >= tokens || answer.isEnded());
    assertFalse(answer.isEnded(), () -> "ended early: " + answer.refusal());
  }

  /** Lets time pass. */
  @When("{int} ms pass")
  public void pass(int millis) {
    world.fleet().clock().advance(Duration.ofMillis(millis));
  }

  /** Kills an engine. */
  @When("{word} is killed")
  public void killed(String box) {
    world.fleet().endpoints().kill(addressOf(box));
  }

  /** Freezes an engine. */
  @When("{word} freezes")
  public void freezes(String box) {
    world.fleet().endpoints().freeze(addressOf(box));
  }

  /** Thaws an engine. */
  @When("{word} thaws")
  public void thaws(String box) {
    world.fleet().endpoints().thaw(addressOf(box));
  }

  /** Loses answers of an engine. */
  @When("the next {int} answers of {word} are lost")
  public void lost(int count, String box) {
    world.fleet().endpoints().loseAnswers(addressOf(box), count);
  }

  /** Exchanges answers of an engine between streams. */
  @When("the next {int} answers of {word} are exchanged between streams")
  public void exchanged(int count, String box) {
    world.fleet().endpoints().exchangeAnswers(addressOf(box), count);
  }

  /** Makes the platform list an engine as leaving. */
  @When("the box list says that {word} is leaving")
  public void leaving(String box) {
    world.fleet().boxes().markLeaving(box);
  }

  /** Takes a box off the platform's list. */
  @When("the box list no longer has {word}")
  public void unlisted(String box) {
    world.fleet().boxes().remove(box);
  }

  /** Checks that connections to an endpoint are not kept. */
  @Then("connections to {word} are let go of")
  public void letGo(String box) {
    assertTrue(world.fleet().endpoints().forgotten().contains(addressOf(box)));
  }

  private HostPort addressOf(String box) {
    return world.fleet().addressOf(box);
  }

  /** Lets every request end and judges all of them. */
  @Then("every answer is whole and right")
  public void everyAnswerIsWhole() {
    world.answers().keySet().forEach(this::answerIsWhole);
  }

  /** Lets a request end and judges it. */
  @Then("{word}'s answer is whole and right")
  public void answerIsWhole(String caller) {
    ends(caller);
    RecordedAnswer answer = world.answer(caller);
    assertTrue(answer.isComplete(), () -> caller + ": " + answer.refusal());
    keepsPromises(caller);
  }

  /** Lets a request end and checks its verdict and that its tokens are a right beginning. */
  @Then("{word}'s answer ends with reason {word} and verdict {word}")
  public void endsWith(String caller, String reason, String verdict) {
    ends(caller);
    Refusal refusal = world.answer(caller).refusal().orElseThrow();
    assertEquals(reason, refusal.reason().code(), refusal.toString());
    assertEquals(verdict, refusal.verdict().name(), refusal.toString());
    keepsPromises(caller);
  }

  private void ends(String caller) {
    RecordedAnswer answer = world.answer(caller);
    world.await(caller + "'s end", answer::isEnded);
    // What comes late must change nothing.
    world.fleet().clock().advance(Duration.ofSeconds(10));
  }

  private void keepsPromises(String caller) {
    ImmutableList<String> problems =
        world
            .fleet()
            .verifier()
            .problemsOf(world.answer(caller), world.length(caller), world.isRepeatable(caller));
    assertEquals(ImmutableList.of(), problems);
  }

  /** Checks that no step of any stream was run again, not even to rebuild. */
  @Then("nothing ran twice")
  public void nothingRanTwice() {
    for (EngineCore engine : world.fleet().endpoints().engines()) {
      assertTrue(engine.ledger().stream().noneMatch(LedgerEntry::rebuilt), "something was rebuilt");
    }
  }

  /** Checks that nothing of a request ran. */
  @Then("no engine ran any part of {word}'s request")
  public void nothingRan(String caller) {
    String prompt = world.answer(caller).prompt();
    assertEquals(ImmutableList.of(), world.fleet().verifier().runsOf(prompt));
  }

  /** Checks that an engine did work in vain that did not count. */
  @Then("{word} dropped at least {int} {word} answers")
  public void dropped(String node, int count, String why) {
    double value = world.fleet().counters(node).value(Metric.DROPPED_ANSWERS, why);
    assertTrue(value >= count, () -> "dropped " + value);
  }

  /** Freezes the engine on which a stream's first layers ran last. */
  @When("the engine that runs {word}'s first layers freezes")
  public void freezesUnder(String caller) {
    ImmutableList<LedgerEntry> runs =
        world.fleet().verifier().runsOf(world.answer(caller).prompt());
    int newest = runs.stream().mapToInt(LedgerEntry::step).max().orElseThrow();
    for (EngineCore engine : world.fleet().endpoints().engines()) {
      boolean runsIt =
          engine.options().endpoint().layers().get().from() == 0
              && engine.ledger().stream()
                  .anyMatch(run -> run.step() >= newest - 1 && runs.contains(run));
      if (runsIt) {
        world.fleet().endpoints().freeze(engine.options().endpoint().address());
      }
    }
  }

  /** Checks how far a stream got. */
  @Then("{word} has got at least {int} tokens")
  public void hasGot(String caller, int least) {
    int tokens = world.answer(caller).tokens().size();
    assertTrue(tokens >= least, () -> "only " + tokens + " tokens");
  }

  /** Checks on which engine the last of a stream ran. */
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

  /** Checks that every engine forgot every session. */
  @Then("no live engine holds a session")
  public void noSessions() {
    world.fleet().clock().advance(Duration.ofSeconds(10));
    for (EngineCore engine : world.fleet().endpoints().engines()) {
      assertEquals(0, engine.sessions(), engine.options().endpoint().id().toString());
    }
  }
}
