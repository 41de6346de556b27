package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.EmptyHttpHeaders;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.StreamingHttpClient;
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
import java.util.OptionalLong;
import org.vaneworks.coordination.fleet.ConnectionRefusedException;
import org.vaneworks.coordination.fleet.MalformedResponseException;
import org.vaneworks.coordination.forwarding.Attempt;
import org.vaneworks.coordination.forwarding.BodyDelimiter;
import org.vaneworks.coordination.forwarding.EndpointTransport;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.transport.DeferredConnectionFactory;
import org.vaneworks.transport.FatalErrors;
import org.vaneworks.transport.ReadScheduler;
import org.vaneworks.transport.RefCountedClient;
import org.vaneworks.transport.SendFailures;
import org.vaneworks.transport.SingleAddressLoadBalancer;
import org.vaneworks.transport.UndecodedInputLimit;

/**
 * Sends attempts over pooled HTTP/1.1 connections without pipelining.
 *
 * <p>ServiceTalk's own retries are disabled. Confined to the node's event loop.
 */
public final class EndpointConnections implements EndpointTransport {
  /**
   * An endpoint in the same region accepts within a few ms; a lost packet is retransmitted after
   * 200 ms.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /**
   * Size of the parts in which a body is written. Netty copies each part to direct memory until the
   * socket has taken it, so a body is not passed to it as a whole.
   */
  static final int WRITE_PART_BYTES = 16 << 10;

  /** Bytes waiting for the socket above which no further part is written. */
  static final int WRITE_BUFFER_BYTES = 32 << 10;

  /**
   * Maximum number of bytes that are read and dropped so that a connection can be reused. A longer
   * response costs more than a new connection, and may have no end.
   */
  private static final int MAX_DISCARDED_BYTES = 256 << 10;

  private final IoExecutor io;
  private final HeaderDialect dialect;
  private final Map<HostPort, RefCountedClient<StreamingHttpClient>> clients = new HashMap<>();

  /** The idle connections of the clients with the same address. */
  private final Map<HostPort, IdleConnections> idleConnections = new HashMap<>();

  private final MemoryBudget memory;
  private final ReadScheduler reads;

  private EndpointConnections(
      IoExecutor io, HeaderDialect dialect, MemoryBudget memory, ReadScheduler reads) {
    this.io = checkNotNull(io);
    this.dialect = checkNotNull(dialect);
    this.memory = checkNotNull(memory);
    this.reads = checkNotNull(reads);
  }

  /**
   * Returns an empty connection pool.
   *
   * @param memory counts what responses hold
   * @param reads schedules reads of input that is costly to decode
   */
  public static EndpointConnections create(
      IoExecutor io, HeaderDialect dialect, MemoryBudget memory, ReadScheduler reads) {
    return new EndpointConnections(io, dialect, memory, reads);
  }

  /**
   * Returns an empty pool of connections to peers.
   *
   * @param dialect the headers of callers
   * @param memory counts what responses hold
   * @param reads schedules reads of input that is costly to decode
   */
  public static EndpointConnections toPeers(
      IoExecutor io, HeaderDialect dialect, MemoryBudget memory, ReadScheduler reads) {
    return new EndpointConnections(io, new PeerHeaderDialect(dialect), memory, reads);
  }

  /** Closes the connections to a removed endpoint once the calls in progress have ended. */
  public void closeConnections(HostPort address) {
    RefCountedClient<StreamingHttpClient> client = clients.remove(address);
    idleConnections.remove(address);
    if (client != null) {
      client.closeWhenIdle();
    }
  }

  @Override
  public boolean hasIdleConnection(HostPort address) {
    IdleConnections idle = idleConnections.get(address);
    return idle != null && idle.exist();
  }

  @Override
  public EndpointCall send(Attempt attempt, Listener listener) {
    RefCountedClient<StreamingHttpClient> refCounted =
        clients.computeIfAbsent(attempt.endpoint().address(), this::newRefCountedClient);
    // Can't fail: a client that closes its connections was removed before, on the same event loop.
    checkState(refCounted.tryAcquire(), "closed: %s", attempt.endpoint().address());
    Call call = new Call(dialect, io, attempt, listener, refCounted::release);
    try {
      send(refCounted.client(), attempt, call);
    } catch (RuntimeException e) {
      call.cancel();
      throw e;
    }
    return call;
  }

  private void send(StreamingHttpClient client, Attempt attempt, Call call) {
    StreamingHttpRequest request = request(client, attempt, call);
    request.context().put(EndpointConnection.USER, call);
    // Each such failure takes a connection from the pool, so that a fresh one is used at last.
    SourceAdapters.toSource(
            client
                .request(request)
                .retry((count, cause) -> cause instanceof EndpointConnection.NotReusableException))
        .subscribe(call);
  }

  private StreamingHttpRequest request(StreamingHttpClient client, Attempt attempt, Call call) {
    EntryRequest callerRequest = (EntryRequest) attempt.request();
    HttpRequestMetaData head = callerRequest.head();
    StreamingHttpRequest request = client.newRequest(head.method(), head.requestTarget());
    HttpHeaders headers = request.headers();
    headers.set(head.headers());
    HopByHopHeaders.remove(headers);
    PeerHeaders.removeFromRequest(headers);
    dialect.rewriteForEndpoint(headers, attempt);
    Buffer body = callerRequest.body();
    boolean hasBody =
        body.readableBytes() > 0 || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (hasBody) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()));
      request.payloadBody(Publisher.fromIterable(parts(body)).beforeOnComplete(call::passedOn));
    } else {
      call.passedOn();
    }
    return request;
  }

  /** Returns views of the parts of a body, of which there is at least one. */
  private static ImmutableList<Buffer> parts(Buffer body) {
    ImmutableList.Builder<Buffer> parts = ImmutableList.builder();
    int end = body.writerIndex();
    int start = body.readerIndex();
    do {
      int length = Math.min(WRITE_PART_BYTES, end - start);
      parts.add(body.slice(start, length));
      start += length;
    } while (start < end);
    return parts.build();
  }

  private RefCountedClient<StreamingHttpClient> newRefCountedClient(HostPort to) {
    return RefCountedClient.of(newClient(to));
  }

  private StreamingHttpClient newClient(HostPort to) {
    IdleConnections idle = new IdleConnections();
    idleConnections.put(to, idle);
    InputAccount account = new InputAccount(to);
    return HttpClients.forResolvedAddress(to.host(), to.port())
        .ioExecutor(io)
        .executor(io)
        .loadBalancerFactory(SingleAddressLoadBalancer.withoutOutlierDetection())
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
        .socketOption(ServiceTalkSocketOptions.WRITE_BUFFER_THRESHOLD, WRITE_BUFFER_BYTES)
        .protocols(
            HttpProtocolConfigs.h1()
                .maxPipelinedRequests(1)
                // Never reached: the connection bounds all fields together.
                .maxHeaderFieldLength(4 * EndpointConnection.MAX_HEAD_BYTES)
                .build())
        .hostHeaderFallback(false)
        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
        .appendConnectionFactoryFilter(DeferredConnectionFactory.onLoop(io))
        .appendConnectionFilter(
            connection -> new EndpointConnection(connection, idle, account, reads))
        .buildStreaming();
  }

  /** Accounts for the heads of an endpoint's responses, and for input that is not decoded yet. */
  private final class InputAccount implements UndecodedInputLimit.Account {
    private final HostPort endpoint;

    InputAccount(HostPort endpoint) {
      this.endpoint = endpoint;
    }

    @Override
    public boolean tryTake(long bytes, long totalBytes) {
      if (!memory.hasRoomForEndpoint(endpoint, bytes, totalBytes)) {
        return false;
      }
      memory.addForEndpoint(endpoint, bytes);
      return true;
    }

    @Override
    public void giveBack(long bytes) {
      memory.addForEndpoint(endpoint, -bytes);
    }
  }

  /** One attempt; subscribes first to the response head, then to its body. */
  private static final class Call
      implements EndpointCall,
          EndpointConnection.User,
          SingleSource.Subscriber<StreamingHttpResponse>,
          PublisherSource.Subscriber<Buffer> {
    private final HeaderDialect dialect;
    private final Executor executor;
    private final Attempt attempt;
    private final Listener listener;
    private final Runnable onFinished;
    private final MemoryLease memory;
    private Cancellable pendingHead = () -> {};
    private PublisherSource.Subscription body;
    private Optional<EndpointConnection> connection = Optional.empty();
    private HttpHeaders responseHeaders = EmptyHttpHeaders.INSTANCE;
    private boolean cancelled;
    private boolean discarded;
    private boolean paused;
    private boolean requestDeferred;
    private boolean finished;
    private boolean passedOn;
    private long receivedBytes;
    private long discardedBytes;
    private BodyDelimiter delimiter = BodyDelimiter.CONNECTION_CLOSE;
    private OptionalLong bodyBytes = OptionalLong.empty();
    private Cancellable writeTimer = () -> {};

    /**
     * Creates a call that has not been sent.
     *
     * @param onFinished runs once, when the call no longer needs its client
     */
    Call(
        HeaderDialect dialect,
        Executor executor,
        Attempt attempt,
        Listener listener,
        Runnable onFinished) {
      this.executor = executor;
      this.onFinished = onFinished;
      this.dialect = dialect;
      this.attempt = attempt;
      this.listener = listener;
      memory = ((EntryRequest) attempt.request()).memory();
      memory.retain();
    }

    /** Records that all parts of the request were passed to the connection. */
    private void passedOn() {
      passedOn = true;
    }

    @Override
    public String requestId() {
      return attempt.request().id();
    }

    @Override
    public boolean isRequestPassedOn() {
      return passedOn;
    }

    @Override
    public void onSubscribe(Cancellable cancellable) {
      pendingHead = cancellable;
      if (cancelled) {
        pendingHead.cancel();
      }
    }

    @Override
    public void onSuccess(StreamingHttpResponse response) {
      if (cancelled) {
        SourceAdapters.toSource(response.payloadBody()).subscribe(this);
        return;
      }
      responseHeaders = response.headers();
      try {
        listener.head(read(response));
      } catch (RuntimeException e) {
        failInside(e);
      }
      SourceAdapters.toSource(response.payloadBody()).subscribe(this);
    }

    private EndpointResponseHead read(StreamingHttpResponse response) {
      HttpHeaders headers = response.headers();
      int status = response.status().code();
      return new EndpointResponseHead(
          response,
          dialect.notRun(status, headers),
          dialect.matches(headers, attempt.request().id()),
          dialect.obstacle(headers),
          dialect.signal(status, headers),
          dialect.peerRefusal(headers));
    }

    /** Ends the call, an event of which can't be handled. */
    private void failInside(RuntimeException cause) {
      EventLog.error(
          Event.REQUEST_FAILED_INSIDE,
          cause,
          "request",
          requestId(),
          "endpoint",
          attempt.endpoint());
      cancel();
      listener.failed(false, cause);
    }

    @Override
    public void onSubscribe(PublisherSource.Subscription subscription) {
      body = subscription;
      if (cancelled) {
        body.cancel();
      } else {
        requestNext();
        endIfReceived();
      }
    }

    private void requestNext() {
      if (paused && !discarded) {
        requestDeferred = true;
      } else {
        body.request(1);
      }
    }

    @Override
    public void onNext(Buffer buffer) {
      if (!discarded && !cancelled) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        receivedBytes += bytes.length;
        listener.data(bytes);
      } else if (!cancelled) {
        discardedBytes += buffer.readableBytes();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
          cancel();
        }
      }
      requestNext();
      endIfReceived();
    }

    @Override
    public void responseEnded(BodyDelimiter by) {
      delimiter = by;
    }

    @Override
    public void respondedEarly(long bytes) {
      bodyBytes = OptionalLong.of(bytes);
      endIfReceived();
    }

    /**
     * Ends the call for its listener once an early response was received. The rest of the request
     * is written as long as the endpoint may still read it.
     */
    private void endIfReceived() {
      boolean received = bodyBytes.isPresent() && bodyBytes.getAsLong() == receivedBytes;
      if (received && body != null && !finished && !discarded && !cancelled) {
        discarded = true;
        writeTimer = executor.schedule(this::cancel, attempt.remaining());
        connection.ifPresent(EndpointConnection::received);
        listener.end(delimiter);
      }
    }

    @Override
    public void onComplete() {
      finish();
      connection.ifPresent(used -> used.rested(responseHeaders));
      if (!discarded && !cancelled) {
        listener.end(delimiter);
      }
    }

    @Override
    public void onError(Throwable cause) {
      finish();
      FatalErrors.report(cause);
      if (!discarded && !cancelled) {
        logEnd(cause);
        listener.failed(body == null && SendFailures.neverSent(cause), reported(cause));
      }
    }

    private static Throwable reported(Throwable cause) {
      return switch (ConnectionEnd.of(cause)) {
        case REFUSED -> new ConnectionRefusedException(cause);
        case MALFORMED, HEAD_TOO_LARGE -> new MalformedResponseException(cause);
        default -> cause;
      };
    }

    private void logEnd(Throwable cause) {
      ConnectionEnd end = ConnectionEnd.of(cause);
      EventLog.info(
          Event.ENDPOINT_CONNECTION_ENDED,
          "request",
          attempt.request().id(),
          "endpoint",
          attempt.endpoint().id(),
          "address",
          attempt.endpoint().address(),
          "endedBy",
          end.endedBy(),
          "how",
          end.code(),
          "phase",
          connection.isPresent() ? (body == null ? "head" : "body") : "connect",
          "receivedBytes",
          receivedBytes,
          "cause",
          cause);
    }

    @Override
    public void connected(EndpointConnection used) {
      // From now on the request may have reached the endpoint.
      connection = Optional.of(used);
    }

    @Override
    public boolean mayHaveArrived() {
      return connection.isPresent();
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (body != null) {
        body.cancel();
      } else {
        // What has not arrived of the request would arrive later if the connection were closed.
        connection.filter(used -> !finished).ifPresent(EndpointConnection::resetOnClose);
        pendingHead.cancel();
      }
      finish();
    }

    private void finish() {
      if (!finished) {
        finished = true;
        writeTimer.cancel();
        memory.release();
        onFinished.run();
      }
    }

    @Override
    public void discard() {
      discarded = true;
      if (!finished) {
        // The rest may have no end, or never come.
        writeTimer.cancel();
        writeTimer = executor.schedule(this::cancel, attempt.remaining());
      }
      resume();
    }

    @Override
    public void pause() {
      paused = true;
    }

    @Override
    public void resume() {
      paused = false;
      if (requestDeferred) {
        requestDeferred = false;
        body.request(1);
      }
    }
  }
}
