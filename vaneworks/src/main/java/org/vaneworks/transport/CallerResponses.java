package org.vaneworks.transport;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.protocol.CallerJson;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;

/** Builds the responses to one request. */
final class CallerResponses {
  private static final int MILLIS_PER_SECOND = 1000;

  private final StreamingHttpResponseFactory responses;
  private final BufferAllocator allocator;
  private final BooleanSupplier stopping;
  private final String requestId = UUID.randomUUID().toString();

  CallerResponses(
      StreamingHttpResponseFactory responses,
      HttpServiceContext context,
      BooleanSupplier stopping) {
    this.responses = responses;
    this.allocator = context.executionContext().bufferAllocator();
    this.stopping = stopping;
  }

  String requestId() {
    return requestId;
  }

  Buffer buffer(String text) {
    return allocator.fromUtf8(text);
  }

  StreamingHttpResponse plain(HttpResponseStatus status, String contentType, String body) {
    Buffer buffer = buffer(body);
    StreamingHttpResponse response = open(status, contentType);
    response.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(buffer.readableBytes()));
    return response.payloadBody(Publisher.from(buffer));
  }

  StreamingHttpResponse streamed(Publisher<Buffer> body) {
    StreamingHttpResponse response = open(HttpResponseStatus.OK, "text/event-stream");
    response.setHeader(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
    return response.payloadBody(body);
  }

  /** A stopping node closes each connection politely, with the answer that it carries. */
  private StreamingHttpResponse open(HttpResponseStatus status, String contentType) {
    StreamingHttpResponse response = responses.newResponse(status);
    response.setHeader(HttpHeaderNames.CONTENT_TYPE, contentType);
    response.setHeader(CallerHeaders.REQUEST, requestId);
    if (stopping.getAsBoolean()) {
      response.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return response;
  }

  StreamingHttpResponse problem(Refusal refusal) {
    int code = refusal.reason().status();
    HttpResponseStatus status = HttpResponseStatus.of(code, refusal.reason().code());
    StreamingHttpResponse response =
        plain(status, CallerJson.PROBLEM, CallerJson.writeProblem(refusal));
    response.setHeader(CallerHeaders.VERDICT, refusal.verdict().name());
    response.setHeader(CallerHeaders.REASON, refusal.reason().code());
    refusal
        .retryAfter()
        .ifPresent(
            wait -> {
              long seconds =
                  (Math.max(1, wait.toMillis()) + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
              response.setHeader(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
            });
    return response;
  }

  /** Returns the response to a failure that the gate has counted already. */
  StreamingHttpResponse counted(Throwable failure) {
    return problem(RefusalException.refusalOf(failure));
  }

  StreamingHttpResponse relayed(ServiceReply reply) {
    return plain(HttpResponseStatus.of(reply.status(), ""), reply.contentType(), reply.body());
  }
}
