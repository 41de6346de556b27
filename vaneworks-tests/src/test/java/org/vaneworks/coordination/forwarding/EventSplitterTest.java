package org.vaneworks.coordination.forwarding;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks that a stream is cut after its last whole event, and which event that was. */
final class EventSplitterTest {
  private final EventSplitter splitter = new EventSplitter();

  private String take(String text) {
    return new String(splitter.append(text.getBytes(UTF_8)), UTF_8);
  }

  @Test
  void wholeEventsPassAtOnce() {
    assertEquals("id: 1\ndata: a\n\n", take("id: 1\ndata: a\n\n"));
    assertEquals(Optional.of("1"), splitter.lastId());
  }

  @Test
  void partOfAnEventIsKeptBack() {
    assertEquals("id: 1\n\n", take("id: 1\n\nid: 2\nda"));
    assertEquals(Optional.of("1"), splitter.lastId());
    assertEquals("id: 2\ndata: b\n\n", take("ta: b\n\n"));
    assertEquals(Optional.of("2"), splitter.lastId());
  }

  @Test
  void lastOfSeveralIdsCounts() {
    take("id: 1\n\nid: 2\ndata: x\n\n");
    assertEquals(Optional.of("2"), splitter.lastId());
  }

  @Test
  void eventWithoutAnIdLeavesTheLastOne() {
    take("id: 1\n\n");
    take("data: id: 9\n\n");
    assertEquals(Optional.of("1"), splitter.lastId());
  }

  @Test
  void linesMayEndWithCarriageReturns() {
    assertEquals("id: 7\r\ndata: a\r\n\r\n", take("id: 7\r\ndata: a\r\n\r\n"));
    assertEquals(Optional.of("7"), splitter.lastId());
  }

  @Test
  void restIsWhatNoEventEnds() {
    take("id: 1\n\nid: 2");
    assertEquals("id: 2", new String(splitter.takePartial(), UTF_8));
    assertEquals(Optional.of("1"), splitter.lastId());
  }

  @Test
  void noEventNoId() {
    assertEquals("", take("id: 1"));
    assertEquals(Optional.empty(), splitter.lastId());
  }
}
