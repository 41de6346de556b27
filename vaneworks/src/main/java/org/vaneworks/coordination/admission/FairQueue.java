package org.vaneworks.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.vaneworks.coordination.requests.CompletionRequest;
import org.vaneworks.state.Priority;

/**
 * Waiting requests of one model under start-time fair queueing.
 *
 * <p>Each flow (workspace and priority) gets service in proportion to its weight; a flow that was
 * idle gets no credit for it. Not thread-safe; {@link AdmissionControl} guards it.
 */
final class FairQueue {
  /** One flow: requests of one workspace at one priority. */
  record FlowKey(String workspace, Priority priority) {}

  private static final class Flow {
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private double lastFinish;
  }

  private final AdmissionCost cost;
  private final Map<FlowKey, Flow> flows = new HashMap<>();
  private double virtualTime;
  private int size;

  FairQueue(AdmissionCost cost) {
    this.cost = cost;
  }

  void add(Waiting waiting) {
    CompletionRequest request = waiting.request();
    Flow flow = flows.computeIfAbsent(waiting.flow(), key -> new Flow());
    double share = (double) request.plan().weight() * request.priority().factor();
    double start = Math.max(virtualTime, flow.lastFinish);
    flow.lastFinish = start + cost.of(request) / share;
    waiting.tag(start);
    flow.waiting.add(waiting);
    size++;
  }

  /** Returns the flows' first requests, the one to serve next first. */
  List<Waiting> heads() {
    List<Waiting> heads = new ArrayList<>(flows.size());
    for (Flow flow : flows.values()) {
      if (!flow.waiting.isEmpty()) {
        heads.add(flow.waiting.peek());
      }
    }
    heads.sort(Comparator.comparingDouble(Waiting::tag));
    return heads;
  }

  /** Removes a request that is served. */
  void serve(Waiting waiting) {
    virtualTime = Math.max(virtualTime, waiting.tag());
    remove(waiting);
  }

  /** Removes a request; returns false if it was not there. */
  boolean remove(Waiting waiting) {
    Flow flow = flows.get(waiting.flow());
    if (flow == null || !flow.waiting.remove(waiting)) {
      return false;
    }
    size--;
    if (flow.waiting.isEmpty() && flow.lastFinish <= virtualTime) {
      flows.remove(waiting.flow());
    }
    return true;
  }

  /** Returns how many requests would be served before a new one of the flow. */
  int ahead(FlowKey key) {
    Flow own = flows.get(key);
    double start = own == null ? virtualTime : Math.max(virtualTime, own.lastFinish);
    int ahead = 0;
    for (Flow flow : flows.values()) {
      for (Waiting waiting : flow.waiting) {
        if (waiting.tag() <= start) {
          ahead++;
        }
      }
    }
    return ahead;
  }

  /** Returns how many requests of the workspace wait. */
  int waitingOf(String workspace) {
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

  /** Forgets idle flows; called now and then so that their number follows the load. */
  void forgetIdle() {
    if (size == 0) {
      flows.clear();
      virtualTime = 0;
    }
  }
}
