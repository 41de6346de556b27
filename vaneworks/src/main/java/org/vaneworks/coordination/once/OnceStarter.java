package org.vaneworks.coordination.once;

import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.pipeline.AnswerSink;

/** Runs requests that their record allows to run. */
@FunctionalInterface
public interface OnceStarter {
  /**
   * Runs the request once.
   *
   * @param live receives the tokens of a completion as they are generated
   * @return the outcome; the future never completes exceptionally
   */
  CompletableFuture<OnceOutcome> start(OnceRequest request, AnswerSink live);
}
