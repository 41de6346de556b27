package org.vaneworks.transport.entry;

import com.google.common.primitives.Longs;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
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
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.vaneworks.coordination.forwarding.CallerResponse;
import org.vaneworks.coordination.forwarding.ResponseHead;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/**
 * The response to one caller's request, as a ServiceTalk response. Confined to the node's event
 * loop.
 */
final class EntryResponse implements CallerResponse, PendingResponse {
  /** Receives the events of a response that concern its connection. */
  interface ConnectionListener {
    /** Called when a response is complete or aborted, or when its caller has disconnected. */
    void requestEnded(PendingResponse ended);

    /** Called when the connection will be closed after the response. */
    void closesAfterResponse();

    /** Reads requests that have arrived, without starting them, and then runs a task. */
    void readArrived(Runnable task);

    /** Called when the connection will be closed in the middle of the response. */
    void aborted();
  }

  private static final CharSequence KEEP_ALIVE = "keep-alive";

  private final StreamingHttpResponseFactory factory;
  private final BufferAllocator allocator;
  private final BooleanSupplier closing;
  private final Optional<Duration> peerKeepAlive;
  private final SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse> response =
      Processors.newSingleProcessor();
  private final ResponseBody body;
  private final MemoryLease memory;
  private CallerResponse.Listener listener;
  private final ConnectionListener connection;
  private String requestId = "";
  private boolean headSent;

  /** The length of the body that the head states, once it was passed on. */
  private Optional<Long> statedBytes = Optional.empty();

  private boolean ended;
  private boolean disconnected;
  private boolean closeAfterwards;

  /**
   * Creates a response that waits for its head.
   *
   * @param closing returns whether the connection is to be closed after this response
   * @param peerKeepAlive how long an idle connection stays open, if a peer forwarded the request
   * @param connection receives the events that concern the caller's connection
   * @param memory the memory that the request holds; released when the response has ended
   */
  EntryResponse(
      StreamingHttpResponseFactory factory,
      BufferAllocator allocator,
      BooleanSupplier closing,
      Optional<Duration> peerKeepAlive,
      ConnectionListener connection,
      MemoryLease memory) {
    this.connection = connection;
    this.memory = memory;
    this.body =
        new ResponseBody(() -> listener().drained(), this::callerDisconnected, memory.budget());
    this.factory = factory;
    this.allocator = allocator;
    this.closing = closing;
    this.peerKeepAlive = peerKeepAlive;
  }

  /** Sets the caller's id of the request, for log lines. */
  void requestId(String id) {
    requestId = id;
  }

  /** Returns the caller's id of the request; empty if it is not known. */
  String requestId() {
    return requestId;
  }

  /** Sets the listener for events of the caller. */
  void listener(CallerResponse.Listener newListener) {
    listener = newListener;
  }

  private CallerResponse.Listener listener() {
    return listener;
  }

  /** Returns the ServiceTalk response, which completes when the head is known. */
  Single<StreamingHttpResponse> response() {
    return SourceAdapters.fromSource(response).whenCancel(this::callerDisconnected);
  }

  @Override
  public boolean isTerminated() {
    return disconnected || (headSent ? body.isTerminated() || isWhole() : ended);
  }

  /**
   * Returns whether as many bytes were passed on as the head states. ServiceTalk then takes the
   * response for complete, and closes the connection if the caller has asked for that.
   */
  private boolean isWhole() {
    return statedBytes.isPresent() && body.emittedBytes() >= statedBytes.get();
  }

  @Override
  public long bufferedBytes() {
    return body.bufferedBytes();
  }

  @Override
  public ResponseProgress progress() {
    return new ResponseProgress(
        requestId, body.emittedBytes(), body.bufferedBytes(), ended && !disconnected);
  }

  @Override
  public void callerDisconnected() {
    if (!ended) {
      disconnected = true;
      recordEnd();
      if (listener != null) {
        listener.disconnected();
      }
    }
    body.discardUnlessSubscribed();
  }

  private void recordEnd() {
    if (!ended) {
      endWork();
      connection.requestEnded(this);
    }
  }

  private void endWork() {
    ended = true;
    memory.release();
  }

  /** Returns whether the response is complete, was aborted, or has no caller any more. */
  boolean isEnded() {
    return ended;
  }

  /**
   * Ends a response without a head because of a failure; ServiceTalk then closes or answers 500.
   */
  void fail(Throwable cause) {
    recordEnd();
    response.onError(cause);
  }

  /** Refuses a request of which nothing was forwarded. */
  @CanIgnoreReturnValue
  EntryResponse refuseUnsent(Reason reason, String detail) {
    refuse(Refusal.nothingSent(reason, detail));
    return this;
  }

  /**
   * Refuses a request and closes the connection, because the start of the next request can't be
   * determined.
   */
  @CanIgnoreReturnValue
  EntryResponse refuseAndClose(Reason reason, String detail) {
    return refuseAndClose(Refusal.nothingSent(reason, detail));
  }

  /** Refuses a request and closes the connection. */
  @CanIgnoreReturnValue
  EntryResponse refuseAndClose(Refusal refusal) {
    closeAfterwards = true;
    refuse(refusal);
    return this;
  }

  @Override
  public void head(ResponseHead head) {
    respond(newResponse(head));
  }

  @Override
  public void streamHead(ResponseHead head) {
    StreamingHttpResponse callerResponse = newResponse(head);
    callerResponse.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    respond(callerResponse);
  }

  private StreamingHttpResponse newResponse(ResponseHead head) {
    var endpointResponse = ((EndpointResponseHead) head).response();
    StreamingHttpResponse callerResponse = factory.newResponse(endpointResponse.status());
    callerResponse.headers().set(endpointResponse.headers());
    HopByHopHeaders.remove(callerResponse.headers());
    if (peerKeepAlive.isPresent()) {
      PeerHeaders.removeFromResponse(callerResponse.headers());
    }
    return callerResponse;
  }

  private void respond(StreamingHttpResponse callerResponse) {
    headSent = true;
    callerResponse.payloadBody(SourceAdapters.fromSource(body));
    beforeClose(() -> send(callerResponse));
  }

  /**
   * Runs a task, after reading requests that have arrived if the close of the connection is to be
   * announced: they could not be answered afterwards.
   */
  private void beforeClose(Runnable task) {
    if (!closeAfterwards && closing.getAsBoolean()) {
      connection.readArrived(task);
    } else {
      task.run();
    }
  }

  private void send(StreamingHttpResponse callerResponse) {
    addConnectionHeaders(callerResponse);
    CharSequence length = callerResponse.headers().get(HttpHeaderNames.CONTENT_LENGTH, "");
    statedBytes = Optional.ofNullable(Longs.tryParse(length.toString()));
    response.onSuccess(callerResponse);
  }

  private void addConnectionHeaders(StreamingHttpResponse callerResponse) {
    peerKeepAlive.ifPresent(
        timeout -> callerResponse.headers().set(KEEP_ALIVE, "timeout=" + timeout.toSeconds()));
    if (closeAfterwards || closing.getAsBoolean()) {
      callerResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      connection.closesAfterResponse();
    }
  }

  @Override
  public boolean data(byte[] bytes) {
    return body.offer(allocator.wrap(bytes));
  }

  @Override
  public boolean holdPartialEvent(HostPort endpoint, int bytes) {
    return memory.holdPartialEvent(endpoint, bytes);
  }

  @Override
  public void end() {
    body.end();
    recordEnd();
  }

  @Override
  public void abort() {
    connection.aborted();
    body.fail(new ClosedChannelException());
    recordEnd();
    if (!headSent) {
      response.onError(new ClosedChannelException());
    }
  }

  @Override
  public void refuse(Refusal refusal) {
    boolean first = !ended;
    if (first) {
      endWork();
    }
    StreamingHttpResponse callerResponse = Refusals.response(factory, allocator, refusal);
    if (peerKeepAlive.isPresent()) {
      PeerHeaders.write(callerResponse.headers(), refusal);
    }
    beforeClose(
        () -> {
          if (first) {
            connection.requestEnded(this);
          }
          send(callerResponse);
        });
  }
}
