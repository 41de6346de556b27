package org.vaneworks.tests.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.ServiceCore;

/** Step definitions for requests that run at most once, by ticket or idempotency key. */
public final class OnceSteps {
  private final World world;
  private final Map<String, String> tickets = new LinkedHashMap<>();
  private final Map<String, CompletableFuture<ServiceReply>> calls = new LinkedHashMap<>();
  private ServiceCore records;

  /** Creates the step definitions of a scenario. */
  public OnceSteps(World world) {
    this.world = world;
  }

  /** Adds an endpoint of the plain service. */
  @Given("the plain service records")
  public void service() {
    records = world.fleet().addService("records-box", "records");
  }

  /** Obtains a ticket from a node. */
  @When("ticket {word} is taken from {word}")
  public void takeTicket(String name, String node) {
    tickets.put(name, world.fleet().node(node).dispatcher().tickets(1).join().get(0));
  }

  /** Sends a service call with a ticket. */
  @When("call {word} confirms swap {int} at {word} with ticket {word}")
  public void withTicket(String call, int swap, String node, String ticket) {
    confirm(call, swap, node, onceOptions(Optional.empty(), Optional.of(tickets.get(ticket))));
  }

  /** Sends a service call with an idempotency key. */
  @When("call {word} confirms swap {int} at {word} with key {word}")
  public void withKey(String call, int swap, String node, String key) {
    confirm(call, swap, node, onceOptions(Optional.of(key), Optional.empty()));
  }

  /** Sends a service call without ticket or key. */
  @When("call {word} confirms swap {int} at {word}")
  public void withoutTicketOrKey(String call, int swap, String node) {
    confirm(call, swap, node, CallerOptions.NONE);
  }

  /** Requests a completion with a ticket. */
  @When("{word} asks {word} for {int} tokens with ticket {word}")
  public void requestCompletion(String caller, String node, int tokens, String ticket) {
    CallerOptions options = onceOptions(Optional.empty(), Optional.of(tickets.get(ticket)));
    world.ask(caller, node, tokens, options);
  }

  /** Repeats another caller's completion request on a node with the same prompt. */
  @When("{word} repeats {word}'s request at {word} for {int} tokens with ticket {word}")
  public void repeatCompletion(
      String caller, String first, String node, int tokens, String ticket) {
    CallerOptions options = onceOptions(Optional.empty(), Optional.of(tickets.get(ticket)));
    world.repeat(caller, first, node, tokens, options);
  }

  private static CallerOptions onceOptions(Optional<String> key, Optional<String> ticket) {
    return new CallerOptions(Optional.of(false), key, ticket, Optional.empty(), Optional.empty());
  }

  private void confirm(String call, int swap, String node, CallerOptions options) {
    ServiceCall confirm = new ServiceCall("POST", "/confirm", "swap " + swap, call);
    calls.put(
        call,
        world
            .fleet()
            .node(node)
            .dispatcher()
            .call(InMemoryFleet.WORKSPACE, "records", confirm, options));
  }

  /** Checks that a call was answered and that its request ran once. */
  @Then("call {word} is answered")
  public void answered(String call) {
    awaitEnd(call);
    assertTrue(!calls.get(call).isCompletedExceptionally(), () -> refusal(call).toString());
    assertEquals("{\"runs\":1}", calls.get(call).join().body());
  }

  /** Checks the reason and verdict of a refused call. */
  @Then("call {word} is refused with reason {word} and verdict {word}")
  public void refused(String call, String reason, String verdict) {
    awaitEnd(call);
    assertTrue(calls.get(call).isCompletedExceptionally(), call + " was answered");
    assertEquals(reason, refusal(call).reason().code(), refusal(call).toString());
    assertEquals(verdict, refusal(call).verdict().name(), refusal(call).toString());
  }

  /** Checks that the refusal of a call states when to retry. */
  @Then("call {word} was told when to come back")
  public void retryAfter(String call) {
    assertTrue(refusal(call).retryAfter().isPresent(), refusal(call).toString());
  }

  private void awaitEnd(String call) {
    world.await("the end of call " + call, calls.get(call)::isDone);
  }

  private Refusal refusal(String call) {
    return RefusalException.refusalOf(calls.get(call).handle((reply, failure) -> failure).join());
  }

  /** Checks how often a request ran, as counted by the service itself. */
  @Then("swap {int} ran {int} time(s)")
  public void ran(int swap, int times) {
    int count = records.runs().getOrDefault("POST /confirm swap " + swap, 0);
    assertEquals(times, count);
  }
}
