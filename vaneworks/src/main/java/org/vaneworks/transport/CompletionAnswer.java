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

/**
 * Turns a completion's answer into an HTTP response, streamed or whole.
 *
 * <p>Calls never overlap, as {@link AnswerSink} says. A caller that stops reading holds at most
 * {@link #MAX_BUFFERED} tokens; past that its stream is cancelled.
 */
final class CompletionAnswer implements AnswerSink {
  private static final int MAX_BUFFERED = 4096;

  private final CallerResponses responses;
  private final boolean streamed;
  private final CompletableFuture<StreamingHttpResponse> response = new CompletableFuture<>();
  private final PublisherSource.Processor<Buffer, Buffer> events =
      Processors.newPublisherProcessor(MAX_BUFFERED);
  private final List<String> tokens = new ArrayList<>();
  private final AtomicReference<Runnable> cancel = new AtomicReference<>(() -> {});
  private boolean opened;

  CompletionAnswer(CallerResponses responses, boolean streamed) {
    this.responses = responses;
    this.streamed = streamed;
  }

  /** Returns the response, which is there once the first token or the end is. */
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
    open();
    emit("data: " + CallerJson.writeChunk(responses.requestId(), text) + "\n\n");
  }

  private void open() {
    if (!opened) {
      opened = true;
      response.complete(
          responses.streamed(
              SourceAdapters.fromSource(events).beforeCancel(() -> cancel.get().run())));
    }
  }

  private void emit(String event) {
    try {
      events.onNext(responses.buffer(event));
    } catch (RuntimeException e) {
      // The caller stopped reading and its buffer is full.
      cancel.get().run();
    }
  }

  @Override
  public void complete() {
    if (!streamed) {
      String body = CallerJson.writeCompletion(responses.requestId(), tokens);
      response.complete(responses.plain(HttpResponseStatus.OK, "application/json", body));
      return;
    }
    open();
    emit("data: " + CallerJson.writeLastChunk(responses.requestId()) + "\n\n");
    emit("data: [DONE]\n\n");
    events.onComplete();
  }

  @Override
  public void failed(Refusal refusal) {
    if (!opened) {
      response.complete(responses.problem(refusal));
      return;
    }
    // A cut answer must never look whole: an explicit event, and no end mark.
    emit("event: error\ndata: " + CallerJson.writeProblem(refusal) + "\n\n");
    events.onComplete();
  }
}
