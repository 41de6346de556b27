package org.vaneworks.transport.entry;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.util.Locale;
import org.vaneworks.protocol.CallerJson;
import org.vaneworks.state.Refusal;

/** Converts refusals to HTTP responses ({@code application/problem+json}, RFC 9457). */
final class Refusals {
  private static final double MILLIS_PER_SECOND = 1000.0;

  private Refusals() {}

  static StreamingHttpResponse response(
      StreamingHttpResponseFactory factory, BufferAllocator allocator, Refusal refusal) {
    HttpResponseStatus status = HttpResponseStatus.of(refusal.reason().status(), "");
    StreamingHttpResponse response = factory.newResponse(status);
    String body = CallerJson.writeProblem(refusal);
    var bytes = allocator.fromUtf8(body);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bytes.readableBytes()));
    refusal
        .retryAfter()
        .ifPresent(
            retryAfter ->
                response
                    .headers()
                    .set(
                        "retry-after",
                        String.format(
                            Locale.ROOT, "%.2f", retryAfter.toMillis() / MILLIS_PER_SECOND)));
    return response.payloadBody(Publisher.from(bytes));
  }
}
