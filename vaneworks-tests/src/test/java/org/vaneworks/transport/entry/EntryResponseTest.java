package org.vaneworks.transport.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.forwarding.CallerResponse;
import org.vaneworks.coordination.forwarding.PeerRefusal;
import org.vaneworks.state.NotRunProof;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/** Tests the events that a response reports to its connection and its listener. */
final class EntryResponseTest {
  private static final BufferAllocator ALLOCATOR = BufferAllocators.PREFER_HEAP_ALLOCATOR;

  private final MemoryBudget memory = MemoryBudget.of(1 << 20, () -> 0, unit -> 0);
  private final RecordingConnection connection = new RecordingConnection();
  private final EntryResponse entryResponse = newResponse(Optional.empty());

  private EntryResponse newResponse(Optional<Duration> peerKeepAlive) {
    return new EntryResponse(
        new DefaultStreamingHttpRequestResponseFactory(
            ALLOCATOR, DefaultHttpHeadersFactory.INSTANCE, HttpProtocolVersion.HTTP_1_1),
        ALLOCATOR,
        () -> false,
        peerKeepAlive,
        connection,
        memory.lease());
  }

  private static final class RecordingConnection implements EntryResponse.ConnectionListener {
    private int ends;

    @Override
    public void requestEnded(PendingResponse ended) {
      ends++;
    }

    @Override
    public void closesAfterResponse() {}

    @Override
    public void readArrived(Runnable task) {
      task.run();
    }

    @Override
    public void aborted() {}
  }

  private static final class RecordingListener implements CallerResponse.Listener {
    private int disconnects;

    @Override
    public void drained() {}

    @Override
    public void disconnected() {
      disconnects++;
    }
  }

  // Guards against a connection without any timer, because a cancelled response never ended.
  @Test
  void requestEndsExactlyOnceWhenBodyIsCancelled() throws Exception {
    RecordingListener listener = new RecordingListener();
    entryResponse.listener(listener);
    var responseFuture = entryResponse.response().toFuture();
    entryResponse.head(EntryFixture.responseHead());
    StreamingHttpResponse callerResponse = responseFuture.get();
    Cancellable body = callerResponse.payloadBody().forEach(part -> {});
    body.cancel();
    assertEquals(1, listener.disconnects);
    assertEquals(1, connection.ends);
    assertTrue(entryResponse.isTerminated());
    entryResponse.callerDisconnected();
    entryResponse.end();
    entryResponse.abort();
    assertEquals(1, listener.disconnects);
    assertEquals(1, connection.ends);
  }

  // Guards against memory that stays counted because the caller left before its response was sent.
  @Test
  void bodyIsReleasedIfCallerLeavesBeforeItIsSent() {
    entryResponse.listener(new RecordingListener());
    entryResponse.head(EntryFixture.responseHead());
    entryResponse.data(new byte[1000]);
    assertEquals(1000, memory.heldBytes());
    entryResponse.callerDisconnected();
    assertEquals(0, memory.heldBytes());
  }

  // Guards against a response that is framed by the length that one of several endpoints stated.
  @Test
  void streamThatMayBeContinuedHasNoLength() throws Exception {
    EndpointResponseHead head = EntryFixture.responseHead();
    head.response().headers().set("content-length", "30");
    var responseFuture = entryResponse.response().toFuture();
    entryResponse.streamHead(head);
    assertFalse(responseFuture.get().headers().contains("content-length"));
  }

  // Control case: the length of another response is passed on.
  @Test
  void lengthOfAnotherResponseIsPassedOn() throws Exception {
    EndpointResponseHead head = EntryFixture.responseHead();
    head.response().headers().set("content-length", "30");
    var responseFuture = entryResponse.response().toFuture();
    entryResponse.head(head);
    assertEquals("30", responseFuture.get().headers().get("content-length").toString());
  }

  // Guards against a response of an endpoint that the sender takes for a refusal of its peer.
  @Test
  void responseOfEndpointIsNoRefusalOfPeer() throws Exception {
    EntryResponse toPeer = newResponse(Optional.of(Duration.ofSeconds(10)));
    EndpointResponseHead head = EntryFixture.responseHead();
    head.response().headers().set("vaneworks-refusal", "no-endpoint");
    var responseFuture = toPeer.response().toFuture();
    toPeer.head(head);
    assertTrue(PeerHeaders.readRefusal(responseFuture.get().headers()).isEmpty());
  }

  // Guards against a peer's rejected requests that are taken for ones that reached no endpoint.
  @Test
  void peerLearnsWhetherARefusedRequestArrivedAtAnEndpoint() throws Exception {
    assertFalse(refusedToPeer(Refusal.nothingSent(Reason.STOPPING, "")).arrived());
    assertTrue(
        refusedToPeer(Refusal.notRun(NotRunProof.ENDPOINT_REFUSED, Reason.STOPPING, "")).arrived());
  }

  @Test
  void refusalWithoutAProofIsTakenForOneOfARequestThatArrived() throws Exception {
    HttpHeaders headers = refusalHeaders(Refusal.nothingSent(Reason.STOPPING, ""));
    headers.remove("vaneworks-proof");
    assertTrue(PeerHeaders.readRefusal(headers).get().arrived());
  }

  private PeerRefusal refusedToPeer(Refusal refusal) throws Exception {
    return PeerHeaders.readRefusal(refusalHeaders(refusal)).get();
  }

  private HttpHeaders refusalHeaders(Refusal refusal) throws Exception {
    EntryResponse toPeer = newResponse(Optional.of(Duration.ofSeconds(1)));
    var responseFuture = toPeer.response().toFuture();
    toPeer.refuse(refusal);
    return responseFuture.get().headers();
  }
}
