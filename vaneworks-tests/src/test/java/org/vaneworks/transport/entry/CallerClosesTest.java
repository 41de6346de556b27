package org.vaneworks.transport.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.telemetry.Metric;

/** Checks that what ServiceTalk does at a connection's end is counted under its cause. */
final class CallerClosesTest {
  private static final long CHECK_MILLIS = 10;

  /** Generous: nothing is measured. */
  private static final int MAX_CHECKS = 1000;

  private EntryFixture node;

  @BeforeEach
  void start() throws Exception {
    node = EntryFixture.start();
  }

  @AfterEach
  void stop() throws Exception {
    node.close();
  }

  private double closes(CloseReason reason) {
    return node.counters.value(Metric.CALLER_CLOSES, reason.code());
  }

  private double all() {
    double sum = 0;
    for (CloseReason any : CloseReason.values()) {
      sum += closes(any);
    }
    return sum;
  }

  private void assertCountedAs(CloseReason reason) throws Exception {
    for (int i = 0; i < MAX_CHECKS && all() == 0; i++) {
      Thread.sleep(CHECK_MILLIS);
    }
    for (CloseReason any : CloseReason.values()) {
      assertEquals(any == reason ? 1 : 0, closes(any), any.code());
    }
  }

  private EntryFixture.Taken beginAnswer(Socket caller) throws Exception {
    EntryFixture.ask(caller);
    EntryFixture.Taken taken = node.next();
    node.onLoop(
        () -> {
          taken.answer.head(EntryFixture.head());
          taken.answer.data(new byte[1]);
        });
    return taken;
  }

  private void answerWhole(EntryFixture.Taken taken) throws Exception {
    node.onLoop(
        () -> {
          taken.answer.head(EntryFixture.head());
          taken.answer.end();
        });
  }

  private static void readToEnd(Socket caller) throws Exception {
    var unused = caller.getInputStream().readAllBytes();
  }

  // Guards against callers who left being taken for cuts.
  @Test
  void callerWhoClosesInTheMidst() throws Exception {
    try (Socket caller = node.connect()) {
      beginAnswer(caller);
    }
    assertCountedAs(CloseReason.CALLER_LEFT_ANSWER);
  }

  // Guards against callers who broke off being taken for cuts.
  @Test
  void callerWhoResetsInTheMidst() throws Exception {
    try (Socket caller = node.connect()) {
      beginAnswer(caller);
      caller.setSoLinger(true, 0);
    }
    assertCountedAs(CloseReason.CALLER_LEFT_ANSWER);
  }

  // Guards against callers who left before any answer being taken for cuts.
  @Test
  void callerWhoClosesBeforeTheHead() throws Exception {
    EntryFixture.Taken taken;
    try (Socket caller = node.connect()) {
      EntryFixture.ask(caller);
      taken = node.next();
    }
    assertCountedAs(CloseReason.CALLER_LEFT_ANSWER);
    assertEquals(1, taken.timesGone());
  }

  // Guards against a stop that waits for callers who left: their answers never end.
  @Test
  void callerWhoLeftHasNoAnswerUnderWay() throws Exception {
    EntryFixture.Taken taken;
    try (Socket caller = node.connect()) {
      taken = beginAnswer(caller);
    }
    taken.awaitGone();
    node.onLoop(() -> assertEquals(0, node.connections.activeCount()));
  }

  // Guards against cuts by the node being taken for callers who left.
  @Test
  void answerThatIsCut() throws Exception {
    try (Socket caller = node.connect()) {
      EntryFixture.Taken taken = beginAnswer(caller);
      node.onLoop(taken.answer::cut);
      readToEnd(caller);
    }
    assertCountedAs(CloseReason.CUT);
  }

  // Guards against ends that were told to the caller being taken for cuts.
  @Test
  void lastAnswerOfAConnection() throws Exception {
    node.closeAfterAnswers();
    try (Socket caller = node.connect()) {
      EntryFixture.ask(caller);
      answerWhole(node.next());
      readToEnd(caller);
    }
    assertCountedAs(CloseReason.LAST_ANSWER);
  }

  // Guards against ends that the caller asked for being taken for cuts.
  @Test
  void answerAfterWhichTheCallerWantsTheEnd() throws Exception {
    try (Socket caller = node.connect()) {
      EntryFixture.ask(caller, "GET", "Connection: close\r\n");
      answerWhole(node.next());
      readToEnd(caller);
    }
    assertCountedAs(CloseReason.BETWEEN_ANSWERS);
  }

  // Guards against callers who need no more being taken for cuts.
  @Test
  void callerWhoClosesBetweenAnswers() throws Exception {
    try (Socket caller = node.connect()) {
      EntryFixture.ask(caller);
      answerWhole(node.next());
      var unused = caller.getInputStream().read();
    }
    assertCountedAs(CloseReason.CALLER_LEFT);
  }
}
