package org.vaneworks.tests.scenarios;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;

/** What the steps of one scenario share; Cucumber makes one for each scenario. */
public final class World {
  static final int LAYERS = 12;
  private static final long SEED = 20261202;
  private static final Duration PATIENCE = Duration.ofMinutes(5);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);
  private final Map<String, RecordedAnswer> answers = new LinkedHashMap<>();
  private final Map<String, Integer> lengths = new LinkedHashMap<>();
  private final Map<String, CallerOptions> options = new LinkedHashMap<>();

  InMemoryFleet fleet() {
    return fleet;
  }

  void ask(String caller, String node, int tokens, CallerOptions with) {
    lengths.put(caller, tokens);
    options.put(caller, with);
    answers.put(caller, fleet.ask(node, "prompt of " + caller, tokens, with));
  }

  void repeat(String caller, String first, String node, int tokens, CallerOptions with) {
    lengths.put(caller, tokens);
    options.put(caller, with);
    answers.put(caller, fleet.ask(node, answer(first).prompt(), tokens, with));
  }

  RecordedAnswer answer(String caller) {
    return answers.get(caller);
  }

  Map<String, RecordedAnswer> answers() {
    return answers;
  }

  int length(String caller) {
    return lengths.get(caller);
  }

  boolean isRepeatable(String caller) {
    return options.get(caller).repeatable().orElse(true);
  }

  /** Lets time pass until the condition holds; fails if it never does. */
  void await(String what, BooleanSupplier condition) {
    if (!fleet.clock().advanceUntil(condition, PATIENCE)) {
      throw new AssertionError("waited in vain for " + what);
    }
  }
}
