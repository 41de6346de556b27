package org.vaneworks.coordination.endpoints;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.HashMap;
import java.util.Map;
import org.vaneworks.state.Endpoint;

/**
 * Step times learned over all engines of one kind, used to predict those of engines that were not
 * used yet.
 *
 * <p>Thread-safe. No other lock is taken while its lock is held.
 */
final class StepTimesByKind {
  private record Kind(String model, int layers, String accelerator) {
    static Kind of(Endpoint endpoint) {
      return new Kind(endpoint.serves(), endpoint.layers().get().size(), endpoint.accelerator());
    }
  }

  @GuardedBy("this")
  private final Map<Kind, StepTimeModel> steps = new HashMap<>();

  @GuardedBy("this")
  private final Map<Kind, StepTimeModel> prompts = new HashMap<>();

  synchronized void observeStep(Endpoint endpoint, double running, double millis) {
    steps.computeIfAbsent(Kind.of(endpoint), k -> new StepTimeModel()).observe(running, millis);
  }

  synchronized void observePrompt(Endpoint endpoint, double positions, double millis) {
    prompts.computeIfAbsent(Kind.of(endpoint), k -> new StepTimeModel()).observe(positions, millis);
  }

  synchronized double predictStep(Endpoint endpoint, double running) {
    StepTimeModel model = steps.get(Kind.of(endpoint));
    return model == null ? 0 : model.predict(running);
  }

  synchronized double predictPrompt(Endpoint endpoint, double positions) {
    StepTimeModel model = prompts.get(Kind.of(endpoint));
    return model == null ? 0 : model.predict(positions);
  }
}
