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

/** Builds the HTTP response to one caller request. */
final class CallerResponses {
  private static final int MILLIS_PER_SECOND = 1000;

  private final StreamingHttpResponseFactory factory;
  private final BufferAllocator allocator;
  private final BooleanSupplier stopping;
  private final String requestId = UUID.randomUUID().toString();

  CallerResponses(
      StreamingHttpResponseFactory factory, HttpServiceContext context, BooleanSupplier stopping) {
    this.factory = factory;
    this.allocator = context.executionContext().bufferAllocator();
    this.stopping = stopping;
  }

  String requestId() {
    return requestId;
  }

  Buffer buffer(String text) {
    return allocator.fromUtf8(text);
  }

  StreamingHttpResponse withBody(HttpResponseStatus status, String contentType, String body) {
    Buffer buffer = buffer(body);
    StreamingHttpResponse response = newResponse(status, contentType);
    response.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(buffer.readableBytes()));
    return response.payloadBody(Publisher.from(buffer));
  }

  StreamingHttpResponse eventStream(Publisher<Buffer> body) {
    StreamingHttpResponse response = newResponse(HttpResponseStatus.OK, "text/event-stream");
    response.setHeader(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
    return response.payloadBody(body);
  }

  /** Creates the response head; a stopping node closes the connection after this response. */
  private StreamingHttpResponse newResponse(HttpResponseStatus status, String contentType) {
    StreamingHttpResponse response = factory.newResponse(status);
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
        withBody(status, CallerJson.PROBLEM, CallerJson.writeProblem(refusal));
    response.setHeader(CallerHeaders.VERDICT, refusal.verdict().name());
    response.setHeader(CallerHeaders.REASON, refusal.reason().code());
    refusal
        .retryAfter()
        .ifPresent(
            retryAfter -> {
              long seconds =
                  (Math.max(1, retryAfter.toMillis()) + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
              response.setHeader(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
            });
    return response;
  }

  /** Returns the response to a failure that was already counted in the refusal metrics. */
  StreamingHttpResponse alreadyCounted(Throwable failure) {
    return problem(RefusalException.refusalOf(failure));
  }

  StreamingHttpResponse serviceReply(ServiceReply reply) {
    return withBody(HttpResponseStatus.of(reply.status(), ""), reply.contentType(), reply.body());
  }
}
