package org.vaneworks.transport;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.protocol.CallerJson;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.WorkspacePlan;

/**
 * Converts the tokens of a completion to an HTTP response, either streamed or as one document.
 *
 * <p>Calls never overlap, as {@link AnswerSink} requires. Events that the caller has not read yet
 * are buffered; the longest answer that a workspace may request fits, so a caller that reads slowly
 * receives its answer completely.
 */
final class CompletionResponse implements AnswerSink {
  /** The tokens of the longest answer, its last chunk and the end marker. */
  private static final int MAX_BUFFERED_EVENTS = WorkspacePlan.MAX_TOKENS + 2;

  private final CallerResponses responses;
  private final boolean streamed;
  private final CompletableFuture<StreamingHttpResponse> response = new CompletableFuture<>();
  private final PublisherSource.Processor<Buffer, Buffer> events =
      Processors.newPublisherProcessor(MAX_BUFFERED_EVENTS);
  private final List<String> tokens = new ArrayList<>();
  private final AtomicReference<Runnable> cancel = new AtomicReference<>(() -> {});
  private boolean streamStarted;

  CompletionResponse(CallerResponses responses, boolean streamed) {
    this.responses = responses;
    this.streamed = streamed;
  }

  /** Returns the response, which completes with the first token or at the end. */
  Single<StreamingHttpResponse> response(Runnable cancelStream) {
    cancel.set(cancelStream);
    return Single.fromStage(response).beforeCancel(cancelStream);
  }

  @Override
  public void token(String text) {
    if (!streamed) {
      tokens.add(text);
      return;
    }
    startStream();
    emit("data: " + CallerJson.writeChunk(responses.requestId(), text) + "\n\n");
  }

  private void startStream() {
    if (!streamStarted) {
      streamStarted = true;
      response.complete(
          responses.eventStream(
              SourceAdapters.fromSource(events).beforeCancel(() -> cancel.get().run())));
    }
  }

  private void emit(String event) {
    events.onNext(responses.buffer(event));
  }

  @Override
  public void complete() {
    if (!streamed) {
      String body = CallerJson.writeCompletion(responses.requestId(), tokens);
      response.complete(responses.withBody(HttpResponseStatus.OK, "application/json", body));
      return;
    }
    startStream();
    emit("data: " + CallerJson.writeLastChunk(responses.requestId()) + "\n\n");
    emit("data: [DONE]\n\n");
    events.onComplete();
  }

  @Override
  public void failed(Refusal refusal) {
    if (!streamStarted) {
      response.complete(responses.problem(refusal));
      return;
    }
    // An explicit error event without the end marker: a truncated response must not look complete.
    emit("event: error\ndata: " + CallerJson.writeProblem(refusal) + "\n\n");
    events.onComplete();
  }
}
