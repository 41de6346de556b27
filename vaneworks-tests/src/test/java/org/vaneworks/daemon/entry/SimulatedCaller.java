package org.vaneworks.daemon.entry;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.vaneworks.coordination.forwarding.AnswerHead;
import org.vaneworks.coordination.forwarding.CallerAnswer;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;
import org.vaneworks.state.entry.EntryRoute;
import org.vaneworks.tests.forwarding.Got;

/**
 * A caller of a course, who judges what it gets by what engines know of its request.
 *
 * <p>An answer that it has begun to get comes whole, each event once and in order, or ends because
 * its engine ended it, its time is over or it left itself; not because its node let go of an engine
 * that would have gone on.
 */
final class SimulatedCaller implements CallerAnswer {
  /** Its node let go of an engine for another, which turned the request away. */
  static final String LET_GO_IN_VAIN = "cut as it was let go for an engine without room";

  /** Callers wait this long for the first event of a stream, so none is refused later unsent. */
  private static final int PATIENCE_MILLIS = 2000;

  /** A node that goes on after it stood still reads what has arrived since. */
  private static final int LATEST_MILLIS = 50;

  private final SimulatedCluster.Asked asked;
  private final EntryRoute route;
  private final int node;
  private final LongSupplier clock;
  private final LongSupplier stoodStill;
  private final long askedAt;
  private long stoodStillBefore;
  private final Got got = new Got();
  private final List<String> problems = new ArrayList<>();
  private Optional<Flow> flow = Optional.empty();
  private long takenAt;
  private long overAt;

  /** From when its node had the request until it was over, without the time that it stood still. */
  private long tookMillis;

  private boolean left;
  private boolean nodeKnows;

  /**
   * Makes one.
   *
   * @param stoodStill for how long its node has stood still, in milliseconds
   */
  SimulatedCaller(
      SimulatedCluster.Asked asked,
      EntryRoute route,
      int node,
      LongSupplier clock,
      LongSupplier stoodStill) {
    this.asked = asked;
    this.route = route;
    this.node = node;
    this.clock = clock;
    this.stoodStill = stoodStill;
    askedAt = clock.getAsLong();
    takenAt = askedAt;
  }

  /** Takes note that the node has the request. */
  void taken(Flow by) {
    takenAt = clock.getAsLong();
    stoodStillBefore = stoodStill.getAsLong();
    flow = Optional.of(by);
  }

  /** Closes its connection; its node learns of it by {@link #gone}. */
  void leave() {
    left = left || !isOver();
  }

  /** Tells the node that it has left, if it has. */
  void gone() {
    if (left && !nodeKnows) {
      nodeKnows = true;
      flow.orElseThrow().gone();
    }
  }

  /** Takes note that the node has ended. */
  void nodeEnded() {
    leave();
    nodeKnows = left;
  }

  /** Returns how it ended, in a word. */
  String outcome() {
    if (got.whole) {
      return "whole";
    }
    if (got.cut) {
      return "cut";
    }
    return left ? "left" : "refused";
  }

  int node() {
    return node;
  }

  String id() {
    return asked.id();
  }

  boolean isOver() {
    return nodeKnows || got.whole || got.cut || got.refusal.isPresent();
  }

  boolean isWhole() {
    return got.whole;
  }

  boolean hasHead() {
    return got.status.isPresent();
  }

  @Override
  public void head(AnswerHead head) {
    check(got.status.isEmpty(), "a second head");
    noteNews("a head");
    got.head(head);
  }

  @Override
  public boolean data(byte[] bytes) {
    check(got.status.isPresent(), "data before the head: " + new String(bytes, UTF_8));
    noteNews("data");
    return got.data(bytes);
  }

  @Override
  public void end() {
    noteNews("an end");
    got.end();
    noteOver();
  }

  @Override
  public void cut() {
    noteNews("a cut");
    got.cut();
    noteOver();
  }

  @Override
  public void refuse(Refusal refusal) {
    check(got.status.isEmpty(), "a refusal after the head");
    noteNews("a refusal");
    got.refuse(refusal);
    noteOver();
  }

  private void noteOver() {
    overAt = clock.getAsLong();
    if (flow.isPresent()) { // Otherwise the node answers at once.
      tookMillis = overAt - takenAt - (stoodStill.getAsLong() - stoodStillBefore);
    }
  }

  private void noteNews(String news) {
    check(!isOver(), news + " after the end");
  }

  private void check(boolean holds, String problem) {
    if (!holds) {
      problems.add(problem);
    }
  }

  /**
   * Takes note that the node is about to send the request.
   *
   * <p>An answer that it has begun to get may go on at its endpoint until another has taken it.
   */
  void sending(ImmutableList<AttemptRecord> before) {
    check(!isOver(), "sent after the end");
    // The send that is noted now is the last one.
    long underWay =
        before.stream()
            .limit(Math.max(0, before.size() - 1))
            .filter(send -> !send.isClosed() && send.end() != AttemptRecord.End.ENGINE_ENDED)
            .count();
    boolean mayGoOn = hasHead() && route.kind().idempotent() && route.kind().streamed();
    check(underWay <= (mayGoOn ? 1 : 0), "sent while it runs at " + before);
  }

  /** Returns what is wrong with what it got, once all is over. */
  ImmutableList<String> problems(ImmutableList<AttemptRecord> sends) {
    check(isOver(), "no end");
    checkRuns(sends);
    checkMoves(sends);
    checkEvents();
    if (got.cut) {
      checkCut(sends);
    }
    got.refusal.ifPresent(refusal -> checkRefusal(refusal, sends));
    return problems.stream()
        .map(problem -> problem + " (" + this + ", sent " + sends + ")")
        .collect(ImmutableList.toImmutableList());
  }

  private void checkRuns(ImmutableList<AttemptRecord> sends) {
    long runs = sends.stream().filter(AttemptRecord::wasTaken).count();
    int most = route.kind().idempotent() ? route.attempts() : 1;
    check(runs <= most, "it ran " + runs + " times");
  }

  /** An engine that would have gone on is left only while the request is at another one. */
  private void checkMoves(ImmutableList<AttemptRecord> sends) {
    for (AttemptRecord send : sends) {
      long at = send.closedAtMillis();
      boolean over = left || at >= overAt;
      boolean elsewhere = sends.stream().anyMatch(other -> other != send && other.isUnderWayAt(at));
      check(!send.wasLetGo() || over || elsewhere, "let go before it had another place");
    }
  }

  private void checkEvents() {
    if (got.status.filter(status -> status == 200).isEmpty()) {
      return;
    }
    int last = route.kind().streamed() ? SimulatedCluster.EVENTS : 1;
    String all = events(last);
    check(got.whole ? got.body.equals(all) : all.startsWith(got.body), "it got " + got.body);
  }

  private static String events(int last) {
    StringBuilder all = new StringBuilder();
    IntStream.rangeClosed(1, last)
        .forEach(id -> all.append("id: ").append(id).append("\ndata: x\n\n"));
    return all.toString();
  }

  private void checkCut(ImmutableList<AttemptRecord> sends) {
    if (overAt >= takenAt + asked.limit().toMillis()) {
      return;
    }
    Optional<AttemptRecord> kept =
        Streams.findLast(
            sends.stream().filter(send -> !send.wasLetGo() || send.closedAtMillis() >= overAt));
    check(kept.isPresent(), "cut after it had been let go everywhere");
    kept.ifPresent(last -> checkCut(last, sends));
  }

  private void checkCut(AttemptRecord last, ImmutableList<AttemptRecord> sends) {
    if (last.end() == AttemptRecord.End.TURNED_AWAY) {
      check(sends.stream().noneMatch(AttemptRecord::wasLetGo), LET_GO_IN_VAIN);
    } else {
      check(last.wasEndedByEngine(), "cut though its engine would have gone on");
    }
  }

  private void checkRefusal(Refusal refusal, ImmutableList<AttemptRecord> sends) {
    if (refusal.verdict() == Verdict.NOT_RUN) {
      check(sends.stream().noneMatch(AttemptRecord::wasTaken), "NOT_RUN though an engine ran it");
    }
    if (sends.isEmpty()) {
      check(tookMillis <= PATIENCE_MILLIS + LATEST_MILLIS, "refused late, and never sent");
    }
    check(tookMillis <= asked.limit().toMillis() + LATEST_MILLIS, "refused after its time");
  }

  @Override
  public String toString() {
    return asked.id()
        + " "
        + route.kind()
        + " attempts "
        + route.attempts()
        + " at node "
        + node
        + " from "
        + askedAt
        + " to "
        + overAt
        + (left ? " left" : "")
        + (got.cut ? " cut" : "")
        + (got.whole ? " whole" : "")
        + got.refusal.map(refusal -> " " + refusal.verdict() + " " + refusal.detail()).orElse("");
  }
}
