package org.vaneworks.transport.entry;

import com.google.common.collect.ImmutableList;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequestMetaData;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.vaneworks.coordination.forwarding.CallerRequest;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.RequestContent;

/** A caller's request with its headers and complete body. */
final class EntryRequest implements CallerRequest {
  private final HttpRequestMetaData head;
  private final Buffer body;
  private final HeaderDialect dialect;
  private final String id;
  private final MemoryLease memory;

  /**
   * Creates a request.
   *
   * @param memory the memory that the request holds, for as long as it has users
   */
  EntryRequest(
      HttpRequestMetaData head, Buffer body, HeaderDialect dialect, String id, MemoryLease memory) {
    this.head = head;
    this.body = body;
    this.dialect = dialect;
    this.id = id;
    this.memory = memory;
  }

  HttpRequestMetaData head() {
    return head;
  }

  /** Returns a new view of the body with its own reader index. */
  Buffer body() {
    return body.duplicate();
  }

  /** Returns the memory that the request holds. */
  MemoryLease memory() {
    return memory;
  }

  @Override
  public String id() {
    return id;
  }

  @Override
  public String host() {
    CharSequence host = head.headers().get(HttpHeaderNames.HOST);
    return host == null ? "" : host.toString();
  }

  @Override
  public String path() {
    String target = head.requestTarget();
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  @Override
  public Optional<String> key() {
    return dialect.key(head.headers());
  }

  @Override
  public Optional<Duration> callerTimeout() {
    return dialect.callerTimeout(head.headers());
  }

  @Override
  public OptionalInt maxAnswerTokens() {
    return dialect.maxAnswerTokens(head.headers());
  }

  @Override
  public Optional<RequestSize> size() {
    return dialect.size(head.headers());
  }

  @Override
  public ImmutableList<String> sharedPromptParts() {
    return dialect.sharedPromptParts(head.headers());
  }

  /** Returns the bytes of the body, which must not be changed; copies them only if necessary. */
  private byte[] bodyBytes() {
    Buffer view = body();
    int length = view.readableBytes();
    // A body of stated length has an array of exactly that length.
    boolean isWholeArray =
        view.hasArray()
            && view.arrayOffset() + view.readerIndex() == 0
            && view.array().length == length;
    if (isWholeArray) {
      return view.array();
    }
    byte[] bytes = new byte[length];
    view.readBytes(bytes);
    return bytes;
  }

  @Override
  public RequestContent content(Optional<String> workspace) {
    return RequestContent.of(
        workspace, head.method().name(), host(), head.requestTarget(), bodyBytes());
  }
}
