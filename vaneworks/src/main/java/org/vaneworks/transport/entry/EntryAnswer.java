package org.vaneworks.transport.entry;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.nio.channels.ClosedChannelException;
import java.util.function.BooleanSupplier;
import org.vaneworks.coordination.forwarding.CallerResponse;
import org.vaneworks.coordination.forwarding.ResponseHead;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/** The answer to one caller as a ServiceTalk response. Confined to the node's event loop. */
final class EntryAnswer implements CallerResponse, ConnectionAnswer {
  /** What the connection is told of an answer. */
  interface Connection {
    /** Takes note that an answer is complete, broken off, or its caller has left. */
    void requestEnded(ConnectionAnswer ended);

    /** Takes note that the connection is to be closed after the answer. */
    void closesAfterAnswer();

    /** Takes note that the connection is to be closed in the midst of the answer. */
    void isCut();
  }

  private final StreamingHttpResponseFactory factory;
  private final BufferAllocator allocator;
  private final BooleanSupplier closing;
  private final SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse> response =
      Processors.newSingleProcessor();
  private final AnswerBody body = new AnswerBody(() -> flow().drained(), this::callerGone);
  private CallerResponse.Listener flow;
  private final Connection connection;
  private boolean headSent;
  private boolean over;
  private boolean gone;
  private boolean lastOfConnection;

  /**
   * Makes an answer that waits for its head.
   *
   * @param closing whether the connection is to be closed after this answer
   * @param connection to the caller
   */
  EntryAnswer(
      StreamingHttpResponseFactory factory,
      BufferAllocator allocator,
      BooleanSupplier closing,
      Connection connection) {
    this.connection = connection;
    this.factory = factory;
    this.allocator = allocator;
    this.closing = closing;
  }

  /** Names who is told what the caller does. */
  void flow(CallerResponse.Listener newFlow) {
    flow = newFlow;
  }

  private CallerResponse.Listener flow() {
    return flow;
  }

  /** Returns the response; it completes with the head. */
  Single<StreamingHttpResponse> response() {
    return SourceAdapters.fromSource(response).whenCancel(this::callerGone);
  }

  @Override
  public boolean isPassedOn() {
    return gone || (headSent ? body.isPassedOn() : over);
  }

  @Override
  public long heldBytes() {
    return body.heldBytes();
  }

  @Override
  public void callerGone() {
    if (!over) {
      gone = true;
      over();
      if (flow != null) {
        flow.disconnected();
      }
    }
  }

  private void over() {
    if (!over) {
      over = true;
      connection.requestEnded(this);
    }
  }

  /** Refuses before anything was forwarded. */
  Single<StreamingHttpResponse> refused(Reason reason, String detail) {
    refuse(Refusal.nothingSent(reason, detail));
    return response();
  }

  /**
   * Refuses, and reads nothing more from the connection: where the next request begins is unsure.
   */
  Single<StreamingHttpResponse> refusedForGood(Reason reason, String detail) {
    lastOfConnection = true;
    return refused(reason, detail);
  }

  @Override
  public void head(ResponseHead head) {
    var source = ((EndpointAnswerHead) head).response();
    StreamingHttpResponse answer = factory.newResponse(source.status());
    answer.headers().set(source.headers());
    HopHeaders.remove(answer.headers());
    closeIfDue(answer);
    headSent = true;
    answer.payloadBody(SourceAdapters.fromSource(body));
    response.onSuccess(answer);
  }

  private void closeIfDue(StreamingHttpResponse answer) {
    if (lastOfConnection || closing.getAsBoolean()) {
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      connection.closesAfterAnswer();
    }
  }

  @Override
  public boolean data(byte[] bytes) {
    return body.offer(allocator.wrap(bytes));
  }

  @Override
  public void end() {
    body.end();
    over();
  }

  @Override
  public void abort() {
    connection.isCut();
    body.fail(new ClosedChannelException());
    over();
  }

  @Override
  public void refuse(Refusal refusal) {
    over();
    StreamingHttpResponse answer = Refusals.response(factory, allocator, refusal);
    closeIfDue(answer);
    response.onSuccess(answer);
  }
}
