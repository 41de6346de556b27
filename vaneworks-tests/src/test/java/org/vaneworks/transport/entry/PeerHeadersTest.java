package org.vaneworks.transport.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.HttpHeaders;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vaneworks.coordination.forwarding.PeerHop;

/** Tests the headers with which nodes forward requests to each other. */
final class PeerHeadersTest {
  private static final String WAITED = "vaneworks-waited-ms";
  private static final PeerHop HOP = new PeerHop("token", "writer", true, Duration.ofMillis(1234));

  private static HttpHeaders headers() {
    HttpHeaders headers = DefaultHttpHeadersFactory.INSTANCE.newHeaders();
    PeerHeaders.write(headers, HOP);
    return headers;
  }

  private static Duration waited(HttpHeaders headers) {
    return PeerHeaders.read(headers).orElseThrow().waited();
  }

  @Test
  void hopIsReadAsItWasWritten() {
    assertEquals(HOP, PeerHeaders.read(headers()).orElseThrow());
  }

  // Guards against a node that declines the requests of nodes of an earlier build, which don't tell
  // how long the caller has waited.
  @Test
  void missingWaitCountsAsNone() {
    HttpHeaders headers = headers();
    headers.remove(WAITED);
    assertEquals(Duration.ZERO, waited(headers));
  }

  // Guards against callers that are refused at once, or wait for longer, by a wait that can't be.
  @ParameterizedTest
  @ValueSource(
      strings = {"", "-1", "1.5", "soon", "3600001", "9223372036854775807", "99999999999999999999"})
  void waitThatCannotBeCountsAsNone(String text) {
    HttpHeaders headers = headers();
    headers.set(WAITED, text);
    assertEquals(Duration.ZERO, waited(headers));
  }

  // Guards against endpoints that get the header from nodes of an earlier build, which don't know
  // it.
  @Test
  void nodesThatDoNotKnowTheWaitRemoveIt() {
    HttpHeaders headers = headers();
    HopByHopHeaders.remove(headers);
    assertTrue(!headers.contains(WAITED));
    assertTrue(headers.contains("vaneworks-service"));
  }
}
