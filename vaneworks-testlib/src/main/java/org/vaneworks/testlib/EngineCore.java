package org.vaneworks.testlib;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.vaneworks.coordination.endpoints.EndpointStatus;
import org.vaneworks.coordination.endpoints.SessionExport;
import org.vaneworks.coordination.endpoints.SessionId;
import org.vaneworks.coordination.endpoints.StepCall;
import org.vaneworks.coordination.endpoints.StepReply;
import org.vaneworks.protocol.EngineJson;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StreamId;

/**
 * An in-memory model engine for one layer range, with continuous batching, a prefix cache, fenced
 * sessions and a ledger of all steps.
 *
 * <p>Thread-safe; futures are completed without holding a lock.
 */
public final class EngineCore {
  private static final int MAX_LEDGER_ENTRIES = 500_000;

  private record Lineage(StreamId stream, LayerRange layers) {}

  private static final class Session {
    private final int epoch;
    private final long[] states;
    private int steps;

    Session(int epoch, long[] states, int steps) {
      this.epoch = epoch;
      this.states = states;
      this.steps = steps;
    }
  }

  private record PendingStep(StepCall call, CompletableFuture<StepReply> reply) {}

  private final EngineOptions options;
  private final Executor executor;

  @GuardedBy("this")
  private final Map<Lineage, Session> sessions = new HashMap<>();

  @GuardedBy("this")
  private final Map<Lineage, Integer> fences = new HashMap<>();

  @GuardedBy("this")
  private final Deque<PendingStep> pending = new ArrayDeque<>();

  @GuardedBy("this")
  private final List<LedgerEntry> ledger = new ArrayList<>();

  @GuardedBy("this")
  private final Map<String, Boolean> prefixes;

  @GuardedBy("this")
  private boolean busy;

  @GuardedBy("this")
  private boolean leaving;

  @GuardedBy("this")
  private EndpointStatus lastReport;

  @GuardedBy("this")
  private long reportedAt;

  private EngineCore(EngineOptions options, Executor executor) {
    this.options = options;
    this.executor = executor;
    this.prefixes =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > options.prefixCacheBlocks();
          }
        };
    this.lastReport = new EndpointStatus(options.endpoint(), false, 0, 0, 0);
  }

  /** Returns an idle engine. */
  public static EngineCore create(EngineOptions options, Executor executor) {
    return new EngineCore(options, executor);
  }

  /** Returns the options of the engine. */
  public EngineOptions options() {
    return options;
  }

  /** Returns the status. Its load figures are refreshed only at the configured interval. */
  public synchronized EndpointStatus status() {
    long now = executor.currentTime(TimeUnit.NANOSECONDS);
    if (now - reportedAt >= options.reportInterval().toNanos()) {
      reportedAt = now;
      lastReport =
          new EndpointStatus(
              options.endpoint(),
              leaving,
              sessions.size(),
              pending.size(),
              lastReport.reportSequence() + 1);
    }
    return new EndpointStatus(
        options.endpoint(),
        leaving,
        lastReport.running(),
        lastReport.queued(),
        lastReport.reportSequence());
  }

  /** Makes the engine report that it is leaving. */
  public synchronized void markLeaving() {
    leaving = true;
  }

  /**
   * Runs a step in the next batch.
   *
   * @return the reply; fails with an {@link EngineRefusal} if the step was not run
   */
  public CompletableFuture<StepReply> step(StepCall call) {
    CompletableFuture<StepReply> reply = new CompletableFuture<>();
    synchronized (this) {
      String refusal = refusalOf(call);
      if (!refusal.isEmpty()) {
        return CompletableFuture.failedFuture(new EngineRefusal(refusal));
      }
      pending.add(new PendingStep(call, reply));
      if (!busy) {
        startBatch();
      }
    }
    return reply;
  }

  @GuardedBy("this")
  private String refusalOf(StepCall call) {
    LayerRange range = call.session().layers();
    if (!options.endpoint().layers().get().equals(range)) {
      return "other-layers";
    }
    Lineage lineage = new Lineage(call.session().stream(), range);
    int epoch = call.session().epoch();
    if (options.endpoint().fenced() && epoch < fences.getOrDefault(lineage, 0)) {
      return "stale-epoch";
    }
    Session session = sessions.get(lineage);
    boolean opensSession = session == null || session.epoch != epoch;
    if (opensSession && sessions.size() >= options.maxSessions()) {
      return EngineJson.OVERLOADED;
    }
    int expected = opensSession ? call.history().size() : session.steps;
    return expected == call.step() ? "" : "out-of-order";
  }

  @GuardedBy("this")
  private void startBatch() {
    List<PendingStep> batch = new ArrayList<>();
    double millis = options.stepMillis();
    while (!pending.isEmpty() && batch.size() < options.maxBatchSize()) {
      PendingStep pendingStep = pending.poll();
      batch.add(pendingStep);
      millis += options.perSessionMillis() + promptMillis(pendingStep.call());
    }
    busy = true;
    executor.schedule(() -> finishBatch(batch), (long) (millis * 1e6), TimeUnit.NANOSECONDS);
  }

  /** Returns the prefill time of a call, excluding positions in the prefix cache. */
  @GuardedBy("this")
  private double promptMillis(StepCall call) {
    if (call.step() > 0 && !call.rebuilds()) {
      return 0;
    }
    String prompt = call.rebuilds() ? call.history().get(0) : call.input();
    List<String> blocks = blocksOf(prompt);
    int hits = 0;
    while (hits < blocks.size() && prefixes.containsKey(blocks.get(hits))) {
      hits++;
    }
    blocks.forEach(block -> prefixes.put(block, true));
    double cached = blocks.isEmpty() ? 0 : (double) hits / blocks.size();
    return (call.positions() + call.historyPositions())
        * (1 - cached)
        * options.perPositionMillis();
  }

  private List<String> blocksOf(String input) {
    return holdsFirstLayer()
        ? ReferenceModel.blocksOf(input)
        : ReferenceModel.activationBlocks(input);
  }

  private boolean holdsFirstLayer() {
    return options.endpoint().layers().get().from() == 0;
  }

  private void finishBatch(List<PendingStep> batch) {
    List<Runnable> outcomes = new ArrayList<>();
    synchronized (this) {
      for (PendingStep pendingStep : batch) {
        outcomes.add(runPending(pendingStep));
      }
      busy = false;
      if (!pending.isEmpty()) {
        startBatch();
      }
    }
    outcomes.forEach(Runnable::run);
  }

  @GuardedBy("this")
  private Runnable runPending(PendingStep pendingStep) {
    StepCall call = pendingStep.call();
    // The session may have been ended or fenced while the call was queued.
    String refusal = refusalOf(call);
    if (!refusal.isEmpty()) {
      return () -> pendingStep.reply().completeExceptionally(new EngineRefusal(refusal));
    }
    Session session = sessionFor(call);
    ImmutableList.Builder<String> historyOutputs = ImmutableList.builder();
    for (String input : call.history()) {
      historyOutputs.add(runStep(call.session(), session, input, true));
    }
    String output = runStep(call.session(), session, call.input(), false);
    StepReply reply = new StepReply(call.session(), call.step(), output, historyOutputs.build());
    return () -> pendingStep.reply().complete(reply);
  }

  @GuardedBy("this")
  private Session sessionFor(StepCall call) {
    Lineage lineage = new Lineage(call.session().stream(), call.session().layers());
    Session session = sessions.get(lineage);
    if (session == null || session.epoch != call.session().epoch()) {
      session = new Session(call.session().epoch(), new long[call.session().layers().size()], 0);
      sessions.put(lineage, session);
      fences.merge(lineage, call.session().epoch(), Math::max);
    }
    return session;
  }

  @GuardedBy("this")
  private String runStep(SessionId id, Session session, String input, boolean rebuilt) {
    if (ledger.size() < MAX_LEDGER_ENTRIES) {
      String prompt = holdsFirstLayer() && session.steps == 0 ? input : "";
      ledger.add(new LedgerEntry(id, session.steps, rebuilt, prompt));
    }
    session.steps++;
    LayerRange range = id.layers();
    long value =
        holdsFirstLayer() ? ReferenceModel.valueOf(input) : ReferenceModel.activationValue(input);
    long output = ReferenceModel.run(value, range.from(), session.states);
    if (range.to() == options.modelLayers()) {
      return ReferenceModel.tokenOf(output);
    }
    return ReferenceModel.activation(output, session.steps == 1 ? blocksOf(input) : List.of());
  }

  /** Ends a session; its queued calls are refused. */
  public synchronized void end(SessionId id) {
    Lineage lineage = new Lineage(id.stream(), id.layers());
    Session session = sessions.get(lineage);
    if (session != null && session.epoch <= id.epoch()) {
      sessions.remove(lineage);
    }
    // Fences the lineage, so that calls that arrive late do not open the session again.
    fences.merge(lineage, id.epoch() + 1, Math::max);
  }

  /** Returns a copy of the state of a session. */
  public synchronized SessionExport exportSession(SessionId id) {
    Session session = sessions.get(new Lineage(id.stream(), id.layers()));
    if (session == null || session.epoch != id.epoch()) {
      throw new EngineRefusal("no-session");
    }
    String state =
        Arrays.stream(session.states).mapToObj(Long::toHexString).collect(Collectors.joining(","));
    return new SessionExport(id, session.steps, state);
  }

  /** Creates or replaces a session from an exported state. */
  public synchronized void importSession(SessionId as, SessionExport export) {
    Lineage lineage = new Lineage(as.stream(), as.layers());
    if (as.epoch() < fences.getOrDefault(lineage, 0)) {
      throw new EngineRefusal("stale-epoch");
    }
    long[] states =
        Arrays.stream(export.state().split(",", -1))
            .mapToLong(text -> Long.parseUnsignedLong(text, 16))
            .toArray();
    sessions.put(lineage, new Session(as.epoch(), states, export.steps()));
    fences.merge(lineage, as.epoch(), Math::max);
  }

  /** Returns all ledger entries so far, in execution order. */
  public synchronized ImmutableList<LedgerEntry> ledger() {
    return ImmutableList.copyOf(ledger);
  }

  /** Returns the number of open sessions. */
  public synchronized int sessions() {
    return sessions.size();
  }
}
