package org.vaneworks.testlib;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.state.Refusal;

/** Keeps what a caller was given. Thread-safe. */
public final class RecordedAnswer implements AnswerSink {
  private final String prompt;
  private final List<String> tokens = new ArrayList<>();
  private Optional<Refusal> refusal = Optional.empty();
  private boolean whole;
  private int ends;

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
    whole = true;
    ends++;
  }

  @Override
  public synchronized void failed(Refusal why) {
    refusal = Optional.of(why);
    ends++;
  }

  /** Returns the prompt. */
  public String prompt() {
    return prompt;
  }

  /** Returns the tokens so far. */
  public synchronized ImmutableList<String> tokens() {
    return ImmutableList.copyOf(tokens);
  }

  /** Returns whether the answer ended whole. */
  public synchronized boolean isWhole() {
    return whole;
  }

  /** Returns whether the answer ended, either way. */
  public synchronized boolean isEnded() {
    return ends > 0;
  }

  /** Returns how often an end was told; more than once is a fault. */
  public synchronized int ends() {
    return ends;
  }

  /** Returns why the answer is not whole. */
  public synchronized Optional<Refusal> refusal() {
    return refusal;
  }
}
