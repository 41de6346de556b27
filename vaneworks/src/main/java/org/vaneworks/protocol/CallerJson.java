package org.vaneworks.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalInt;
import org.vaneworks.coordination.requests.CompletionBody;
import org.vaneworks.state.Refusal;

/**
 * Reads and writes the documents exchanged with callers: the widely used chat-completions format
 * and problem details (RFC 9457).
 */
public final class CallerJson {
  /** Media type of problem details. */
  public static final String PROBLEM = "application/problem+json";

  private static final int MAX_TOKENS = 32_768;

  private CallerJson() {}

  /**
   * A completion request with the requested form of its answer.
   *
   * @param body prompt and token limit
   * @param stream whether the answer is sent as server-sent events
   */
  public record ParsedCompletion(CompletionBody body, boolean stream) {}

  /**
   * Reads a completion request. Fields of the format that this class does not use are ignored.
   *
   * @throws InvalidFieldException if a field is missing or invalid
   */
  public static ParsedCompletion readCompletion(String text) {
    FieldReader fields = FieldReader.of("", Json.parse(text));
    StringBuilder prompt = new StringBuilder(fields.text("prompt", ""));
    for (FieldReader message : fields.objects("messages")) {
      prompt
          .append(message.text("role"))
          .append(": ")
          .append(message.text("content", ""))
          .append('\n');
    }
    if (prompt.length() == 0) {
      throw fields.invalid("messages", "must be given, with at least one message");
    }
    OptionalInt maxTokens =
        fields.has("max_tokens")
            ? OptionalInt.of(fields.integer("max_tokens", 1, MAX_TOKENS))
            : OptionalInt.empty();
    return new ParsedCompletion(
        new CompletionBody(prompt.toString(), maxTokens), fields.bool("stream", false));
  }

  /** Returns the document of one token of a streamed answer. */
  public static String writeChunk(String id, String token) {
    ObjectNode node = completion(id, "chat.completion.chunk");
    ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta").put("content", token);
    choice.putNull("finish_reason");
    return Json.write(node);
  }

  /** Returns the document that ends a complete streamed answer. */
  public static String writeLastChunk(String id) {
    ObjectNode node = completion(id, "chat.completion.chunk");
    ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta");
    choice.put("finish_reason", "length");
    return Json.write(node);
  }

  /** Returns the document of an answer that is not streamed. */
  public static String writeCompletion(String id, List<String> tokens) {
    ObjectNode node = completion(id, "chat.completion");
    ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", String.join("", tokens));
    choice.put("finish_reason", "length");
    node.putObject("usage").put("completion_tokens", tokens.size());
    return Json.write(node);
  }

  private static ObjectNode completion(String id, String object) {
    return Json.object().put("id", id).put("object", object);
  }

  /** Returns the document that lists issued tickets. */
  public static String writeTickets(List<String> tickets) {
    return Json.write(Json.object().set("tickets", Json.texts(tickets)));
  }

  /** Returns the problem details of a refusal or failure. */
  public static String writeProblem(Refusal refusal) {
    ObjectNode node =
        Json.object()
            .put("type", "urn:vaneworks:" + refusal.reason().code())
            .put("title", refusal.reason().text())
            .put("status", refusal.reason().status())
            .put("detail", refusal.detail())
            .put("reason", refusal.reason().code())
            .put("verdict", refusal.verdict().name());
    refusal.proof().ifPresent(proof -> node.put("proof", proof.name()));
    refusal.retryAfter().ifPresent(wait -> node.put("retryAfterMs", wait.toMillis()));
    return Json.write(node);
  }
}
