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

/** Steps on requests that run at most once: tickets, keys, confirmations. */
public final class OnceSteps {
  private final World world;
  private final Map<String, String> tickets = new LinkedHashMap<>();
  private final Map<String, CompletableFuture<ServiceReply>> calls = new LinkedHashMap<>();
  private ServiceCore records;

  /** Takes the scenario's world. */
  public OnceSteps(World world) {
    this.world = world;
  }

  /** Adds the plain service. */
  @Given("the plain service records")
  public void service() {
    records = world.fleet().addService("records-box", "records");
  }

  /** Takes a ticket. */
  @When("ticket {word} is taken from {word}")
  public void ticket(String name, String node) {
    tickets.put(name, world.fleet().node(node).gate().tickets(1).join().get(0));
  }

  /** Confirms under a ticket. */
  @When("call {word} confirms swap {int} at {word} with ticket {word}")
  public void withTicket(String call, int swap, String node, String ticket) {
    confirm(call, swap, node, once(Optional.empty(), Optional.of(tickets.get(ticket))));
  }

  /** Confirms under a key. */
  @When("call {word} confirms swap {int} at {word} with key {word}")
  public void withKey(String call, int swap, String node, String key) {
    confirm(call, swap, node, once(Optional.of(key), Optional.empty()));
  }

  /** Confirms without either. */
  @When("call {word} confirms swap {int} at {word}")
  public void unkeyed(String call, int swap, String node) {
    confirm(call, swap, node, CallerOptions.NONE);
  }

  /** Asks for a completion under a ticket. */
  @When("{word} asks {word} for {int} tokens with ticket {word}")
  public void asks(String caller, String node, int tokens, String ticket) {
    CallerOptions options = once(Optional.empty(), Optional.of(tickets.get(ticket)));
    world.ask(caller, node, tokens, options);
  }

  /** Repeats another caller's request word for word, as the same caller would elsewhere. */
  @When("{word} repeats {word}'s request at {word} for {int} tokens with ticket {word}")
  public void repeats(String caller, String first, String node, int tokens, String ticket) {
    CallerOptions options = once(Optional.empty(), Optional.of(tickets.get(ticket)));
    world.repeat(caller, first, node, tokens, options);
  }

  private static CallerOptions once(Optional<String> key, Optional<String> ticket) {
    return new CallerOptions(Optional.of(false), key, ticket, Optional.empty(), Optional.empty());
  }

  private void confirm(String call, int swap, String node, CallerOptions options) {
    ServiceCall confirm = new ServiceCall("POST", "/confirm", "swap " + swap, call);
    calls.put(
        call,
        world.fleet().node(node).gate().call(InMemoryFleet.WORKSPACE, "records", confirm, options));
  }

  /** Checks that a call was answered. */
  @Then("call {word} is answered")
  public void answered(String call) {
    ends(call);
    assertTrue(!calls.get(call).isCompletedExceptionally(), () -> refusal(call).toString());
    assertEquals("{\"runs\":1}", calls.get(call).join().body());
  }

  /** Checks that a call was refused. */
  @Then("call {word} is refused with reason {word} and verdict {word}")
  public void refused(String call, String reason, String verdict) {
    ends(call);
    assertTrue(calls.get(call).isCompletedExceptionally(), call + " was answered");
    assertEquals(reason, refusal(call).reason().code(), refusal(call).toString());
    assertEquals(verdict, refusal(call).verdict().name(), refusal(call).toString());
  }

  /** Checks that a call told its caller when to come back. */
  @Then("call {word} was told when to come back")
  public void retryAfter(String call) {
    assertTrue(refusal(call).retryAfter().isPresent(), refusal(call).toString());
  }

  private void ends(String call) {
    world.await("the end of call " + call, calls.get(call)::isDone);
  }

  private Refusal refusal(String call) {
    return RefusalException.refusalOf(calls.get(call).handle((reply, failure) -> failure).join());
  }

  /** Checks the service's own count. */
  @Then("swap {int} ran {int} time(s)")
  public void ran(int swap, int times) {
    int count = records.runs().getOrDefault("POST /confirm swap " + swap, 0);
    assertEquals(times, count);
  }
}
