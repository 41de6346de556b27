package org.vaneworks.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.vaneworks.coordination.queueing.FairShares;
import org.vaneworks.coordination.requests.CompletionRequest;
import org.vaneworks.state.Priority;

/**
 * The queued requests of one model, ordered by start-time fair queueing.
 *
 * <p>Each flow (workspace and priority) is served in proportion to its weight. A request is charged
 * to its flow when it arrives. Not thread-safe; guarded by the lock of {@link AdmissionControl}.
 */
final class FairQueue {
  /** Identifies a flow: the requests of one workspace at one priority. */
  record FlowKey(String workspace, Priority priority) {}

  private static final class Flow {
    private final Deque<QueuedRequest> waiting = new ArrayDeque<>();
  }

  private final AdmissionCost cost;
  private final Map<FlowKey, Flow> flows = new HashMap<>();
  private final FairShares<FlowKey> shares = FairShares.create();
  private int size;

  FairQueue(AdmissionCost cost) {
    this.cost = cost;
  }

  void add(QueuedRequest queued) {
    CompletionRequest request = queued.request();
    Flow flow = flows.computeIfAbsent(queued.flow(), key -> new Flow());
    double share = (double) request.plan().weight() * request.priority().factor();
    queued.startTag(shares.charge(queued.flow(), shares.virtualTime(), cost.of(request), share));
    flow.waiting.add(queued);
    size++;
  }

  /** Returns the first request of each flow, ordered by start tag: the next to serve is first. */
  List<QueuedRequest> firstRequests() {
    List<QueuedRequest> firstRequests = new ArrayList<>(flows.size());
    for (Flow flow : flows.values()) {
      if (!flow.waiting.isEmpty()) {
        firstRequests.add(flow.waiting.peek());
      }
    }
    firstRequests.sort(Comparator.comparingDouble(QueuedRequest::startTag));
    return firstRequests;
  }

  /** Removes a request that is being served and advances the virtual time to its start tag. */
  void serve(QueuedRequest queued) {
    shares.serve(queued.startTag());
    remove(queued);
  }

  /** Removes a request; returns false if it was not queued. */
  boolean remove(QueuedRequest queued) {
    Flow flow = flows.get(queued.flow());
    if (flow == null || !flow.waiting.remove(queued)) {
      return false;
    }
    size--;
    if (flow.waiting.isEmpty() && shares.removeIfPast(queued.flow())) {
      flows.remove(queued.flow());
    }
    return true;
  }

  /** Returns how many queued requests would be served before a new request of the flow. */
  int countAhead(FlowKey key) {
    double start = shares.startTag(key, shares.virtualTime());
    int ahead = 0;
    for (Flow flow : flows.values()) {
      for (QueuedRequest queued : flow.waiting) {
        if (queued.startTag() <= start) {
          ahead++;
        }
      }
    }
    return ahead;
  }

  /** Returns the number of queued requests of the workspace. */
  int waitingCount(String workspace) {
    int count = 0;
    for (Priority priority : Priority.values()) {
      Flow flow = flows.get(new FlowKey(workspace, priority));
      count += flow == null ? 0 : flow.waiting.size();
    }
    return count;
  }

  int size() {
    return size;
  }

  /** Removes all flows if no request is queued, so that idle flows don't accumulate. */
  void removeIdleFlows() {
    if (size == 0) {
      flows.clear();
      shares.reset();
    }
  }
}
