package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vaneworks.coordination.fleet.NobodyListensException;
import org.vaneworks.coordination.forwarding.Attempt;
import org.vaneworks.coordination.forwarding.EndpointCalls;
import org.vaneworks.state.HostPort;
import org.vaneworks.transport.CountedClient;
import org.vaneworks.transport.SendFailures;
import org.vaneworks.transport.SingleAddress;

/**
 * Sends attempts over pooled connections, one request at a time on each.
 *
 * <p>ServiceTalk's own retries are switched off. Confined to the node's event loop.
 */
public final class EndpointConnections implements EndpointCalls {
  /** An endpoint of the same region accepts in a few ms; a lost packet is sent again after 200. */
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** The call that a request belongs to. */
  private static final ContextMap.Key<Call> CALL = ContextMap.Key.newKey("call", Call.class);

  private final IoExecutor io;
  private final HeaderDialect dialect;
  private final Map<HostPort, CountedClient<StreamingHttpClient>> clients = new HashMap<>();

  private EndpointConnections(IoExecutor io, HeaderDialect dialect) {
    this.io = checkNotNull(io);
    this.dialect = checkNotNull(dialect);
  }

  /** Returns a pool without connections. */
  public static EndpointConnections create(IoExecutor io, HeaderDialect dialect) {
    return new EndpointConnections(io, dialect);
  }

  /** Closes the connections to an endpoint that is gone, once their requests are done. */
  public void closeConnections(HostPort address) {
    CountedClient<StreamingHttpClient> client = clients.remove(address);
    if (client != null) {
      client.forget();
    }
  }

  @Override
  public EndpointCall send(Attempt attempt, Listener listener) {
    CountedClient<StreamingHttpClient> counted =
        clients.computeIfAbsent(attempt.endpoint().address(), this::connect);
    StreamingHttpClient client = counted.callBegins();
    Call call = new Call(dialect, attempt.request().id(), listener, counted::callOver);
    StreamingHttpRequest request = request(client, attempt);
    request.context().put(CALL, call);
    SourceAdapters.toSource(client.request(request)).subscribe(call);
    return call;
  }

  private StreamingHttpRequest request(StreamingHttpClient client, Attempt attempt) {
    EntryRequest source = (EntryRequest) attempt.request();
    HttpRequestMetaData head = source.head();
    StreamingHttpRequest request = client.newRequest(head.method(), head.requestTarget());
    HttpHeaders headers = request.headers();
    headers.set(head.headers());
    HopHeaders.remove(headers);
    dialect.rewriteForEndpoint(headers, attempt);
    Buffer body = source.body();
    boolean hadBody =
        body.readableBytes() > 0 || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (hadBody) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()));
      request.payloadBody(Publisher.from(body));
    }
    return request;
  }

  private CountedClient<StreamingHttpClient> connect(HostPort to) {
    return CountedClient.of(clientOf(to));
  }

  private StreamingHttpClient clientOf(HostPort to) {
    return HttpClients.forResolvedAddress(to.host(), to.port())
        .ioExecutor(io)
        .executor(io)
        .loadBalancerFactory(SingleAddress.alwaysTried())
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
        .protocols(HttpProtocolConfigs.h1().maxPipelinedRequests(1).build())
        .hostHeaderFallback(false)
        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
        .appendConnectionFilter(EndpointConnections::noteConnected)
        .buildStreaming();
  }

  /** Tells a call that it has a connection: from then on its request may arrive. */
  private static StreamingHttpConnectionFilter noteConnected(
      FilterableStreamingHttpConnection connection) {
    return new StreamingHttpConnectionFilter(connection) {
      @Override
      public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
        Optional.ofNullable(request.context().get(CALL)).ifPresent(Call::connected);
        return delegate().request(request);
      }
    };
  }

  /** One attempt: first the response's head, then its body. */
  private static final class Call
      implements EndpointCall,
          SingleSource.Subscriber<StreamingHttpResponse>,
          PublisherSource.Subscriber<Buffer> {
    private final HeaderDialect dialect;
    private final String requestId;
    private final Listener listener;
    private final Runnable onOver;
    private Cancellable head = () -> {};
    private PublisherSource.Subscription body;
    private boolean connected;
    private boolean cancelled;
    private boolean discarded;
    private boolean paused;
    private boolean owed;
    private boolean over;

    /**
     * Makes a call that was not sent yet.
     *
     * @param onOver is called once when the call needs its client no more
     */
    Call(HeaderDialect dialect, String requestId, Listener listener, Runnable onOver) {
      this.onOver = onOver;
      this.dialect = dialect;
      this.requestId = requestId;
      this.listener = listener;
    }

    @Override
    public void onSubscribe(Cancellable cancellable) {
      head = cancellable;
      if (cancelled) {
        head.cancel();
      }
    }

    @Override
    public void onSuccess(StreamingHttpResponse response) {
      if (cancelled) {
        SourceAdapters.toSource(response.payloadBody()).subscribe(this);
        return;
      }
      HttpHeaders headers = response.headers();
      int status = response.status().code();
      listener.head(
          new EndpointAnswerHead(
              response,
              dialect.notRun(status, headers),
              dialect.matches(headers, requestId),
              dialect.obstacle(headers),
              dialect.statement(status, headers)));
      SourceAdapters.toSource(response.payloadBody()).subscribe(this);
    }

    @Override
    public void onSubscribe(PublisherSource.Subscription subscription) {
      body = subscription;
      if (cancelled) {
        body.cancel();
      } else {
        ask();
      }
    }

    private void ask() {
      if (paused && !discarded) {
        owed = true;
      } else {
        body.request(1);
      }
    }

    @Override
    public void onNext(Buffer buffer) {
      if (!discarded && !cancelled) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        listener.data(bytes);
      }
      ask();
    }

    @Override
    public void onComplete() {
      over();
      if (!discarded && !cancelled) {
        listener.end();
      }
    }

    @Override
    public void onError(Throwable cause) {
      over();
      if (!discarded && !cancelled) {
        boolean refused = SendFailures.connectionRefused(cause);
        Throwable told = refused ? new NobodyListensException(cause) : cause;
        listener.failed(body == null && SendFailures.neverSent(cause), told);
      }
    }

    void connected() {
      connected = true;
    }

    @Override
    public boolean mayHaveArrived() {
      return connected;
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (body != null) {
        body.cancel();
      } else {
        head.cancel();
      }
      over();
    }

    private void over() {
      if (!over) {
        over = true;
        onOver.run();
      }
    }

    @Override
    public void discard() {
      discarded = true;
      resume();
    }

    @Override
    public void pause() {
      paused = true;
    }

    @Override
    public void resume() {
      paused = false;
      if (owed) {
        owed = false;
        body.request(1);
      }
    }
  }
}
