package org.vaneworks.coordination.pipeline;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.vaneworks.coordination.requests.CompletionRequest;
import org.vaneworks.state.StreamId;

/**
 * Runs completions over pipelines of engines.
 *
 * <p>This node calls each hop in turn, so it knows exactly what ran; see docs/design/0003.
 * Thread-safe.
 */
public final class PipelineDriver {
  private final PipelineContext context;
  private final String node;
  private final Random random;
  private final AtomicLong sequence = new AtomicLong();
  private final Set<StreamRun> running = ConcurrentHashMap.newKeySet();

  private PipelineDriver(PipelineContext context, String node, Random random) {
    this.context = checkNotNull(context);
    this.node = node;
    this.random = checkNotNull(random);
  }

  /**
   * Returns a driver with no streams.
   *
   * @param node this node's name with its incarnation
   * @param random seeded source of the streams' nonces
   */
  public static PipelineDriver create(PipelineContext context, String node, Random random) {
    checkArgument(!node.isEmpty(), "the node must be named");
    return new PipelineDriver(context, node, random);
  }

  /**
   * Starts a completion.
   *
   * @param sink takes the answer, from this call on
   * @return cancels the stream on every hop when run, for a caller that is gone
   */
  public Runnable run(CompletionRequest request, AnswerSink sink) {
    StreamId id = new StreamId(node, sequence.incrementAndGet(), random.nextLong());
    StreamRun run = new StreamRun(context, id, request, sink, running::remove);
    running.add(run);
    run.start();
    return run::cancel;
  }

  /** Returns how many streams wait or run. */
  public int inFlight() {
    return running.size();
  }
}
