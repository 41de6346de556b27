package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/** Tests what happens to a caller's connection if the node fails its request. */
final class RefusalConnectionTest {
  private static final Pattern LENGTH = Pattern.compile("content-length: (\\d+)\r\n");

  private EntryFixture entry;

  @BeforeEach
  void start() throws Exception {
    entry = EntryFixture.start();
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
  }

  /** Fails the next request of a connection and returns the response's head in lower case. */
  private String failNext(Socket caller) throws Exception {
    EntryFixture.sendRequest(caller);
    EntryFixture.ReceivedRequest request = entry.next();
    entry.runOnEventLoop(
        () -> request.response.refuse(Refusal.mayHaveRun(Reason.ENDPOINT_LOST, "silent")));
    String head = readHead(caller);
    assertTrue(head.startsWith("http/1.1 502"), head);
    Matcher length = LENGTH.matcher(head);
    assertTrue(length.find(), head);
    int bodyBytes = Integer.parseInt(length.group(1));
    assertEquals(bodyBytes, caller.getInputStream().readNBytes(bodyBytes).length);
    return head;
  }

  private static String readHead(Socket caller) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = caller.getInputStream().read();
      assertTrue(next >= 0, "closed after: " + head);
      head.append(new String(new byte[] {(byte) next}, US_ASCII));
    }
    return head.toString().toLowerCase(Locale.ROOT);
  }

  // Guards against a failure that takes the caller's connection along.
  @Test
  void connectionServesNextRequestAfterFailure() throws Exception {
    try (Socket caller = entry.connect()) {
      assertFalse(failNext(caller).contains("connection: close"));
      assertFalse(failNext(caller).contains("connection: close"));
    }
  }

  // Control case: a node that is stopping announces the close with the failure.
  @Test
  void failureOfStoppingNodeAnnouncesClose() throws Exception {
    entry.closeAfterResponses();
    try (Socket caller = entry.connect()) {
      assertTrue(failNext(caller).contains("connection: close"));
      assertEquals(-1, caller.getInputStream().read());
    }
  }
}
