package org.vaneworks.transport;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HeaderUtils;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.api.RetryableException;
import java.io.IOException;

/**
 * Fails requests over a connection whose latest response ends with it, as ServiceTalk closes the
 * connection only after that response is complete. The request must then be sent over another one.
 *
 * <p>Thread-safe; a connection carries one request at a time.
 */
final class UndelimitedResponseFilter extends StreamingHttpConnectionFilter {
  /** Reports that a request was not written, because its connection is about to be closed. */
  static final class ClosingConnectionException extends IOException implements RetryableException {
    private static final long serialVersionUID = 1;

    ClosingConnectionException() {
      super("the connection ends with the previous response");
    }
  }

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private volatile boolean endsWithResponse;

  UndelimitedResponseFilter(FilterableStreamingHttpConnection connection) {
    super(connection);
  }

  @Override
  public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
    if (endsWithResponse) {
      closeAsync().subscribe();
      return Single.failed(new ClosingConnectionException());
    }
    return delegate()
        .request(request)
        .whenOnSuccess(response -> endsWithResponse = !isDelimited(response));
  }

  /** Returns whether a response states its end, or has no body. */
  static boolean isDelimited(HttpResponseMetaData response) {
    int status = response.status().code();
    return status == NO_CONTENT
        || status == NOT_MODIFIED
        || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || HeaderUtils.isTransferEncodingChunked(response.headers());
  }
}
