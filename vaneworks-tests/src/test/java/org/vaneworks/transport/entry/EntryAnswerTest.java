package org.vaneworks.transport.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.forwarding.CallerResponse;

/** Checks what an answer's connection is told. */
final class EntryAnswerTest {
  private static final BufferAllocator ALLOCATOR = BufferAllocators.PREFER_HEAP_ALLOCATOR;

  private final Connection connection = new Connection();
  private final EntryAnswer answer =
      new EntryAnswer(
          new DefaultStreamingHttpRequestResponseFactory(
              ALLOCATOR, DefaultHttpHeadersFactory.INSTANCE, HttpProtocolVersion.HTTP_1_1),
          ALLOCATOR,
          () -> false,
          connection);

  private static final class Connection implements EntryAnswer.Connection {
    private int ends;

    @Override
    public void requestEnded(ConnectionAnswer ended) {
      ends++;
    }

    @Override
    public void closesAfterAnswer() {}

    @Override
    public void isCut() {}
  }

  private static final class Flow implements CallerResponse.Listener {
    private int gone;

    @Override
    public void drained() {}

    @Override
    public void disconnected() {
      gone++;
    }
  }

  // Guards against a connection without any timer: its answer was cancelled and never ended.
  @Test
  void requestIsOverOnceWhenItsBodyIsCancelled() throws Exception {
    Flow flow = new Flow();
    answer.flow(flow);
    var response = answer.response().toFuture();
    answer.head(EntryFixture.head());
    StreamingHttpResponse got = response.get();
    Cancellable body = got.payloadBody().forEach(part -> {});
    body.cancel();
    assertEquals(1, flow.gone);
    assertEquals(1, connection.ends);
    assertTrue(answer.isPassedOn());
    answer.callerGone();
    answer.end();
    answer.abort();
    assertEquals(1, flow.gone);
    assertEquals(1, connection.ends);
  }
}
