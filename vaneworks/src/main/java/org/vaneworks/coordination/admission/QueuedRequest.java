package org.vaneworks.coordination.admission;

import io.servicetalk.concurrent.Cancellable;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.admission.FairQueue.FlowKey;
import org.vaneworks.coordination.requests.CompletionRequest;
import org.vaneworks.coordination.routing.RouteQuery;

/**
 * A request that waits for admission.
 *
 * <p>The mutable fields are guarded by the lock of {@link AdmissionControl}.
 */
final class QueuedRequest {
  private final CompletionRequest request;
  private final RouteQuery query;
  private final long queuedAt;
  private final FlowKey flow;
  private final CompletableFuture<Admission> outcome = new CompletableFuture<>();
  private Cancellable expiry = () -> {};
  private double startTag;

  QueuedRequest(CompletionRequest request, RouteQuery query, long queuedAt) {
    this.request = request;
    this.query = query;
    this.queuedAt = queuedAt;
    this.flow = new FlowKey(request.plan().workspace(), request.priority());
  }

  CompletionRequest request() {
    return request;
  }

  RouteQuery query() {
    return query;
  }

  long queuedAt() {
    return queuedAt;
  }

  FlowKey flow() {
    return flow;
  }

  CompletableFuture<Admission> outcome() {
    return outcome;
  }

  void expiry(Cancellable timer) {
    expiry = timer;
  }

  Cancellable expiry() {
    return expiry;
  }

  void startTag(double start) {
    startTag = start;
  }

  double startTag() {
    return startTag;
  }
}
