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
 * <p>This node calls each hop itself, so it always knows which steps ran; see docs/design/0003.
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
   * Creates a driver with no streams.
   *
   * @param node name and incarnation of this node
   * @param random source of the nonces in stream identifiers
   */
  public static PipelineDriver create(PipelineContext context, String node, Random random) {
    checkArgument(!node.isEmpty(), "node must not be empty");
    return new PipelineDriver(context, node, random);
  }

  /**
   * Starts a completion.
   *
   * @param sink receives the answer; may be called before this method returns
   * @return a task that cancels the stream on every hop, to be run when the caller disconnects
   */
  public Runnable run(CompletionRequest request, AnswerSink sink) {
    StreamId id = new StreamId(node, sequence.incrementAndGet(), random.nextLong());
    StreamRun run = new StreamRun(context, id, request, sink, running::remove);
    running.add(run);
    run.start();
    return run::cancel;
  }

  /** Returns the number of streams that are queued or running. */
  public int inFlight() {
    return running.size();
  }
}
