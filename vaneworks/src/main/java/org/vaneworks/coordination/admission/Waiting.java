package org.vaneworks.coordination.admission;

import io.servicetalk.concurrent.Cancellable;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.admission.FairQueue.FlowKey;
import org.vaneworks.coordination.requests.CompletionRequest;
import org.vaneworks.coordination.routing.RouteQuery;

/** A request that waits for admission. Its mutable parts are guarded by the admission lock. */
final class Waiting {
  private final CompletionRequest request;
  private final RouteQuery query;
  private final long since;
  private final FlowKey flow;
  private final CompletableFuture<Admission> outcome = new CompletableFuture<>();
  private Cancellable expiry = () -> {};
  private double tag;

  Waiting(CompletionRequest request, RouteQuery query, long since) {
    this.request = request;
    this.query = query;
    this.since = since;
    this.flow = new FlowKey(request.plan().workspace(), request.priority());
  }

  CompletionRequest request() {
    return request;
  }

  RouteQuery query() {
    return query;
  }

  long since() {
    return since;
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

  void tag(double start) {
    tag = start;
  }

  double tag() {
    return tag;
  }
}
