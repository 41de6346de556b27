package org.vaneworks.testlib;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.vaneworks.state.StreamId;
import org.vaneworks.state.Verdict;

/**
 * Verifies answers by their text and the engines' ledgers, independently of the router's own
 * counters.
 *
 * <p>All prompts must be different, because answers are matched with ledger entries by prompt.
 */
public final class AnswerVerifier {
  private record LayerRun(StreamId stream, int step, int layer) {}

  private final int layers;
  private final ImmutableList<LedgerEntry> ledger;

  private AnswerVerifier(int layers, ImmutableList<LedgerEntry> ledger) {
    this.layers = layers;
    this.ledger = ledger;
  }

  /** Returns a verifier that uses the current ledgers of the engines. */
  public static AnswerVerifier of(int layers, Iterable<EngineCore> engines) {
    ImmutableList.Builder<LedgerEntry> all = ImmutableList.builder();
    engines.forEach(engine -> all.addAll(engine.ledger()));
    return new AnswerVerifier(layers, all.build());
  }

  /**
   * Returns a description of each error in an answer, or an empty list if it is correct.
   *
   * @param tokens number of tokens requested
   * @param repeatable whether the request may run more than once
   */
  public ImmutableList<String> problemsOf(RecordedAnswer answer, int tokens, boolean repeatable) {
    List<String> problems = new ArrayList<>();
    if (answer.terminationCount() > 1) {
      problems.add("ended " + answer.terminationCount() + " times");
    }
    List<String> expected = ReferenceModel.answer(answer.prompt(), layers, tokens);
    int received = answer.tokens().size();
    if (received > tokens || !expected.subList(0, received).equals(answer.tokens())) {
      problems.add("returned " + answer.tokens() + ", expected " + expected);
    }
    if (answer.isComplete() && received != tokens) {
      problems.add("reported complete after " + received + " of " + tokens + " tokens");
    }
    List<LedgerEntry> runs = runsOf(answer.prompt());
    if (isRefusedAsNotRun(answer) && !runs.isEmpty()) {
      problems.add("refused as not run, but ran " + runs.size() + " times");
    }
    problems.addAll(duplicateRuns(runs, repeatable));
    return ImmutableList.copyOf(problems);
  }

  private static boolean isRefusedAsNotRun(RecordedAnswer answer) {
    return answer.refusal().filter(refusal -> refusal.verdict() == Verdict.NOT_RUN).isPresent();
  }

  /** Returns all ledger entries of the streams that ran a prompt. */
  public ImmutableList<LedgerEntry> runsOf(String prompt) {
    Set<StreamId> streams = new HashSet<>();
    for (LedgerEntry entry : ledger) {
      if (entry.prompt().equals(prompt)) {
        streams.add(entry.session().stream());
      }
    }
    return ledger.stream()
        .filter(entry -> streams.contains(entry.session().stream()))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Describes duplicate runs: a session must not run a step twice, and a request that is not
   * repeatable must not run any layer twice for the same step.
   */
  private static List<String> duplicateRuns(List<LedgerEntry> runs, boolean repeatable) {
    Map<Object, Integer> counts = new HashMap<>();
    for (LedgerEntry entry : runs) {
      counts.merge(entry, 1, Integer::sum);
      for (int layer = entry.session().layers().from();
          !repeatable && layer < entry.session().layers().to();
          layer++) {
        counts.merge(new LayerRun(entry.session().stream(), entry.step(), layer), 1, Integer::sum);
      }
    }
    return counts.entrySet().stream()
        .filter(count -> count.getValue() > 1)
        .map(count -> count.getKey() + " ran " + count.getValue() + " times")
        .toList();
  }
}
