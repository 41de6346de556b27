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
 * Judges answers by their text and by the engines' ledgers, never by the router's own counters.
 *
 * <p>Prompts must differ, so that ledgers can be matched with answers.
 */
public final class Judge {
  private record Run(StreamId stream, int step, int layer) {}

  private final int layers;
  private final ImmutableList<LedgerEntry> ledger;

  private Judge(int layers, ImmutableList<LedgerEntry> ledger) {
    this.layers = layers;
    this.ledger = ledger;
  }

  /** Returns a judge over the engines' ledgers. */
  public static Judge of(int layers, Iterable<EngineCore> engines) {
    ImmutableList.Builder<LedgerEntry> all = ImmutableList.builder();
    engines.forEach(engine -> all.addAll(engine.ledger()));
    return new Judge(layers, all.build());
  }

  /** Returns what is wrong with an answer; empty if nothing is. */
  public ImmutableList<String> problemsOf(RecordedAnswer answer, int tokens, boolean repeatable) {
    List<String> problems = new ArrayList<>();
    if (answer.ends() > 1) {
      problems.add("ended " + answer.ends() + " times");
    }
    List<String> right = ReferenceModel.answer(answer.prompt(), layers, tokens);
    int given = answer.tokens().size();
    if (given > tokens || !right.subList(0, given).equals(answer.tokens())) {
      problems.add("gave " + answer.tokens() + ", right is " + right);
    }
    if (answer.isWhole() && given != tokens) {
      problems.add("looks whole after " + given + " of " + tokens + " tokens");
    }
    List<LedgerEntry> runs = runsOf(answer.prompt());
    if (isRefusedAsNotRun(answer) && !runs.isEmpty()) {
      problems.add("refused as not run, but ran " + runs.size() + " times");
    }
    problems.addAll(repeats(runs, repeatable));
    return ImmutableList.copyOf(problems);
  }

  private static boolean isRefusedAsNotRun(RecordedAnswer answer) {
    return answer.refusal().filter(why -> why.verdict() == Verdict.NOT_RUN).isPresent();
  }

  /** Returns the runs of the streams that a prompt was run in. */
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

  /** A lineage never runs a step twice; a request that is not repeatable runs nothing twice. */
  private static List<String> repeats(List<LedgerEntry> runs, boolean repeatable) {
    Map<Object, Integer> counts = new HashMap<>();
    for (LedgerEntry entry : runs) {
      counts.merge(entry, 1, Integer::sum);
      for (int layer = entry.session().layers().from();
          !repeatable && layer < entry.session().layers().to();
          layer++) {
        counts.merge(new Run(entry.session().stream(), entry.step(), layer), 1, Integer::sum);
      }
    }
    return counts.entrySet().stream()
        .filter(count -> count.getValue() > 1)
        .map(count -> count.getKey() + " ran " + count.getValue() + " times")
        .toList();
  }
}
