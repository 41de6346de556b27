package org.vaneworks.testlib;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.state.Refusal;

/** Records the answer that a caller receives. Thread-safe. */
public final class RecordedAnswer implements AnswerSink {
  private final String prompt;
  private final List<String> tokens = new ArrayList<>();
  private Optional<Refusal> refusal = Optional.empty();
  private boolean complete;
  private int terminationCount;

  private RecordedAnswer(String prompt) {
    this.prompt = prompt;
  }

  /** Returns an empty answer to a prompt. */
  public static RecordedAnswer to(String prompt) {
    return new RecordedAnswer(prompt);
  }

  @Override
  public synchronized void token(String text) {
    tokens.add(text);
  }

  @Override
  public synchronized void complete() {
    complete = true;
    terminationCount++;
  }

  @Override
  public synchronized void failed(Refusal cause) {
    refusal = Optional.of(cause);
    terminationCount++;
  }

  /** Returns the prompt. */
  public String prompt() {
    return prompt;
  }

  /** Returns the tokens received so far. */
  public synchronized ImmutableList<String> tokens() {
    return ImmutableList.copyOf(tokens);
  }

  /** Returns whether the answer ended successfully. */
  public synchronized boolean isComplete() {
    return complete;
  }

  /** Returns whether the answer ended, successfully or not. */
  public synchronized boolean isEnded() {
    return terminationCount > 0;
  }

  /** Returns how often the end of the answer was signalled; more than once is an error. */
  public synchronized int terminationCount() {
    return terminationCount;
  }

  /** Returns the refusal if the answer failed. */
  public synchronized Optional<Refusal> refusal() {
    return refusal;
  }
}
