package org.vaneworks.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.vaneworks.coordination.admission.FairQueue.FlowKey;
import org.vaneworks.coordination.requests.CompletionRequest;
import org.vaneworks.coordination.routing.RouteQuery;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.Priority;
import org.vaneworks.state.WorkspacePlan;

/**
 * Guards against a change of the order in {@link AdmissionControl}'s queues: the start tags were
 * computed by the queue itself before the capacity queues of the forwarding node shared this.
 */
final class FairQueueTest {
  private static final int STEPS = 400;

  /** The former computation of start tags. */
  private static final class FormerTags {
    private final Map<FlowKey, Double> lastFinish = new HashMap<>();
    private final Map<FlowKey, Integer> waiting = new HashMap<>();
    private double virtualTime;

    double add(QueuedRequest queued) {
      CompletionRequest request = queued.request();
      double share = (double) request.plan().weight() * request.priority().factor();
      double start = Math.max(virtualTime, lastFinish.getOrDefault(queued.flow(), 0.0));
      lastFinish.put(queued.flow(), start + AdmissionCost.tokens().of(request) / share);
      waiting.merge(queued.flow(), 1, Integer::sum);
      return start;
    }

    void serve(QueuedRequest queued) {
      virtualTime = Math.max(virtualTime, queued.startTag());
      remove(queued);
    }

    void remove(QueuedRequest queued) {
      int left = waiting.merge(queued.flow(), -1, Integer::sum);
      if (left == 0 && lastFinish.get(queued.flow()) <= virtualTime) {
        lastFinish.remove(queued.flow());
      }
    }

    int countAhead(FlowKey key, List<QueuedRequest> queued) {
      double start = Math.max(virtualTime, lastFinish.getOrDefault(key, 0.0));
      return (int) queued.stream().filter(request -> request.startTag() <= start).count();
    }

    void clear() {
      lastFinish.clear();
      waiting.clear();
      virtualTime = 0;
    }
  }

  private static QueuedRequest request(Random random) {
    Priority priority = Priority.values()[random.nextInt(Priority.values().length)];
    int workspace = random.nextInt(5);
    WorkspacePlan plan =
        new WorkspacePlan(
            "w" + workspace,
            "model",
            12,
            ImmutableList.of(),
            100,
            100,
            1_000,
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Priority.NORMAL,
            1 + workspace);
    CompletionRequest request =
        new CompletionRequest(
            plan,
            "p".repeat(1 + random.nextInt(3_000)),
            1 + random.nextInt(200),
            true,
            priority,
            Optional.empty());
    RouteQuery query =
        new RouteQuery(
            "model",
            LayerRange.of(0, 12),
            1,
            1,
            ImmutableList.of(),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            ImmutableSet.of());
    return new QueuedRequest(request, query, 0);
  }

  @Property(tries = 100, seed = "20261204")
  void startTagsAndPositionsAreAsBefore(@ForAll Random random) {
    FairQueue queue = new FairQueue(AdmissionCost.tokens());
    FormerTags former = new FormerTags();
    List<QueuedRequest> queued = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      int action = random.nextInt(10);
      if (action < 5 || queued.isEmpty()) {
        QueuedRequest added = request(random);
        assertEquals(former.countAhead(added.flow(), queued), queue.countAhead(added.flow()));
        queue.add(added);
        assertEquals(former.add(added), added.startTag());
        queued.add(added);
      } else if (action < 9) {
        List<QueuedRequest> first = queue.firstRequests();
        QueuedRequest served = first.get(random.nextInt(Math.min(4, first.size())));
        queue.serve(served);
        former.serve(served);
        queued.remove(served);
      } else {
        QueuedRequest withdrawn = queued.remove(random.nextInt(queued.size()));
        queue.remove(withdrawn);
        former.remove(withdrawn);
      }
      assertEquals(queued.size(), queue.size());
      queue.removeIdleFlows();
      if (queued.isEmpty()) {
        former.clear();
      }
    }
  }
}
