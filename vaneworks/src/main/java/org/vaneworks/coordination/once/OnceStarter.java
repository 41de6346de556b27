package org.vaneworks.coordination.once;

import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.pipeline.AnswerSink;

/** Runs a request whose record says that it may run now. */
@FunctionalInterface
public interface OnceStarter {
  /**
   * Runs the request, once.
   *
   * @param live takes a completion's tokens as they come
   * @return the outcome; never fails
   */
  CompletableFuture<OnceOutcome> start(OnceRequest request, AnswerSink live);
}
