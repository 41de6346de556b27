package org.vaneworks.coordination.forwarding;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests splitting of a stream after its last complete event, and the id of that event. */
final class EventSplitterTest {
  private static final int PIECES = 2048;

  private final EventSplitter splitter = new EventSplitter();

  private String append(String text) {
    return new String(splitter.append(text.getBytes(UTF_8)), UTF_8);
  }

  @Test
  void passesCompleteEventsImmediately() {
    assertEquals("id: 1\ndata: a\n\n", append("id: 1\ndata: a\n\n"));
    assertEquals(Optional.of("1"), splitter.lastId());
  }

  @Test
  void buffersPartialEvent() {
    assertEquals("id: 1\n\n", append("id: 1\n\nid: 2\nda"));
    assertEquals(Optional.of("1"), splitter.lastId());
    assertEquals("id: 2\ndata: b\n\n", append("ta: b\n\n"));
    assertEquals(Optional.of("2"), splitter.lastId());
  }

  @Test
  void returnsLastOfSeveralIds() {
    append("id: 1\n\nid: 2\ndata: x\n\n");
    assertEquals(Optional.of("2"), splitter.lastId());
  }

  @Test
  void eventWithoutIdKeepsLastId() {
    append("id: 1\n\n");
    append("data: id: 9\n\n");
    assertEquals(Optional.of("1"), splitter.lastId());
  }

  @Test
  void acceptsCarriageReturns() {
    assertEquals("id: 7\r\ndata: a\r\n\r\n", append("id: 7\r\ndata: a\r\n\r\n"));
    assertEquals(Optional.of("7"), splitter.lastId());
  }

  @Test
  void takePartialReturnsIncompleteEvent() {
    append("id: 1\n\nid: 2");
    assertEquals("id: 2", new String(splitter.takePartial(), UTF_8));
    assertEquals(Optional.of("1"), splitter.lastId());
  }

  @Test
  void incompleteEventHasNoId() {
    assertEquals("", append("id: 1"));
    assertEquals(Optional.empty(), splitter.lastId());
  }

  // Guards against an event in many pieces that is copied with each of them.
  @Test
  void eventInPiecesIsCopiedLinearly() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    byte[] piece = "x".repeat(1024).getBytes(UTF_8);
    splitter.append(piece);
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int i = 1; i < PIECES; i++) {
      splitter.append(piece);
    }
    byte[] event = splitter.append("\n\n".getBytes(UTF_8));
    long allocated = threads.getCurrentThreadAllocatedBytes() - before;
    assertEquals(PIECES * piece.length + 2, event.length);
    assertTrue(allocated < 8L * event.length, "allocated: " + allocated);
  }

  @Test
  void endOfEventInTwoPiecesIsFound() {
    assertEquals("", append("data: a\n"));
    assertEquals("data: a\n\n", append("\ndata: b\r\n\r"));
    assertEquals("data: b\r\n\r\n", append("\nid"));
    assertEquals("id: 3\n\n", append(": 3\n\n"));
    assertEquals(Optional.of("3"), splitter.lastId());
  }

  @Test
  void restoredPartIsCompleted() {
    append("data: a");
    byte[] part = splitter.takePartial();
    append("other");
    splitter.restorePartial(part);
    assertEquals("data: a\n\n", append("\n\n"));
  }
}
