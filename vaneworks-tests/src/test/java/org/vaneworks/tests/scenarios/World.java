package org.vaneworks.tests.scenarios;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;

/** The state that the step definitions of one scenario share, created by Cucumber per scenario. */
public final class World {
  static final int LAYERS = 12;
  private static final long SEED = 20261202;
  private static final Duration TIMEOUT = Duration.ofMinutes(5);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);
  private final Map<String, RecordedAnswer> answers = new LinkedHashMap<>();
  private final Map<String, Integer> lengths = new LinkedHashMap<>();
  private final Map<String, CallerOptions> options = new LinkedHashMap<>();

  InMemoryFleet fleet() {
    return fleet;
  }

  void ask(String caller, String node, int tokens, CallerOptions requestOptions) {
    lengths.put(caller, tokens);
    options.put(caller, requestOptions);
    answers.put(caller, fleet.ask(node, "prompt of " + caller, tokens, requestOptions));
  }

  void repeat(String caller, String first, String node, int tokens, CallerOptions requestOptions) {
    lengths.put(caller, tokens);
    options.put(caller, requestOptions);
    answers.put(caller, fleet.ask(node, answer(first).prompt(), tokens, requestOptions));
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

  /** Advances the clock until the condition holds; fails if it does not hold within the timeout. */
  void await(String what, BooleanSupplier condition) {
    if (!fleet.clock().advanceUntil(condition, TIMEOUT)) {
      throw new AssertionError("timed out waiting for " + what);
    }
  }
}
