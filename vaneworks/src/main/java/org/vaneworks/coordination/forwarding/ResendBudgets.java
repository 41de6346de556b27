package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.util.HashMap;
import java.util.Map;

/**
 * This node's shares of the fleet's retry budgets, of which each service has its own: requests of
 * one service pay for no retries of another. Confined to the node's event loop.
 */
final class ResendBudgets {
  /** The budget of a service, and the streams that wait for it. */
  private record ServiceBudget(ResendBudget budget, ResendQueue queue) {}

  private final Executor clock;
  private final SharingNodes sharing;

  /** Entries remain when a service is removed from the configuration, as it may return. */
  private final Map<String, ServiceBudget> byService = new HashMap<>();

  private ForwardingLimits limits;

  ResendBudgets(Executor clock, ForwardingLimits limits, SharingNodes sharing) {
    this.clock = checkNotNull(clock);
    this.limits = checkNotNull(limits);
    this.sharing = checkNotNull(sharing);
  }

  /** Updates the limits; retries spent before remain spent. */
  void updateLimits(ForwardingLimits next) {
    limits = next;
    byService.values().forEach(each -> each.budget().updateLimits(next));
  }

  /** Returns the budget of a service. */
  ResendBudget of(String service) {
    return budgetOf(service).budget();
  }

  /** Returns the interrupted streams of a service that wait for its budget. */
  ResendQueue queueOf(String service) {
    return budgetOf(service).queue();
  }

  private ServiceBudget budgetOf(String service) {
    return byService.computeIfAbsent(service, this::newBudget);
  }

  private ServiceBudget newBudget(String service) {
    ResendBudget budget = ResendBudget.of(() -> clock.currentTime(NANOSECONDS), limits, sharing);
    return new ServiceBudget(budget, new ResendQueue(clock, budget));
  }
}
