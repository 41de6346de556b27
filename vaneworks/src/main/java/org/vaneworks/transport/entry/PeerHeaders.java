package org.vaneworks.transport.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.primitives.Longs;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.vaneworks.coordination.forwarding.PeerHop;
import org.vaneworks.coordination.forwarding.PeerRefusal;
import org.vaneworks.state.NotRunProof;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;

/**
 * Headers with which nodes forward requests to each other. Neither callers nor endpoints see them.
 */
final class PeerHeaders {
  private static final CharSequence TOKEN = "vaneworks-peer-token";
  private static final CharSequence SERVICE = "vaneworks-service";
  private static final CharSequence CONTINUES = "vaneworks-continues";
  private static final CharSequence WAITED_MILLIS = "vaneworks-waited-ms";
  private static final CharSequence REASON = "vaneworks-refusal";
  private static final CharSequence VERDICT = "vaneworks-verdict";
  private static final CharSequence PROOF = "vaneworks-proof";
  private static final CharSequence RETRY_AFTER_MILLIS = "vaneworks-retry-after-ms";

  private static final ImmutableList<CharSequence> REQUEST_HEADERS =
      ImmutableList.of(TOKEN, SERVICE, CONTINUES, WAITED_MILLIS);
  private static final ImmutableList<CharSequence> RESPONSE_HEADERS =
      ImmutableList.of(REASON, VERDICT, PROOF, RETRY_AFTER_MILLIS);
  private static final ImmutableMap<String, Reason> REASONS =
      Maps.uniqueIndex(Arrays.asList(Reason.values()), Reason::code);
  private static final ImmutableSet<String> NO_ARRIVAL =
      ImmutableSet.of(NotRunProof.NOTHING_SENT.name(), NotRunProof.NEVER_CONNECTED.name());
  private static final ImmutableMap<String, Verdict> VERDICTS =
      Maps.uniqueIndex(Arrays.asList(Verdict.values()), Verdict::name);

  /** Longer waits are those of no caller; they are not believed. */
  private static final Duration MAX_WAITED = Duration.ofHours(1);

  private PeerHeaders() {}

  static void write(HttpHeaders headers, PeerHop hop) {
    headers.set(TOKEN, hop.token());
    headers.set(SERVICE, hop.service());
    headers.set(CONTINUES, Boolean.toString(hop.continues()));
    headers.set(WAITED_MILLIS, Long.toString(hop.waited().toMillis()));
    // Nodes that don't know the header remove it before they forward the request to an endpoint.
    headers.set(HttpHeaderNames.CONNECTION, WAITED_MILLIS);
  }

  /**
   * Reads the headers of a forwarded request; empty if one of them is missing.
   *
   * <p>A wait that is missing, as from an earlier build, or that can't be right counts as none.
   */
  static Optional<PeerHop> read(HttpHeaders headers) {
    Optional<String> token = text(headers, TOKEN);
    Optional<String> service = text(headers, SERVICE);
    Optional<String> continues = text(headers, CONTINUES);
    if (token.isEmpty() || service.isEmpty() || continues.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new PeerHop(
            token.get(), service.get(), Boolean.parseBoolean(continues.get()), waited(headers)));
  }

  private static Duration waited(HttpHeaders headers) {
    return text(headers, WAITED_MILLIS)
        .map(Longs::tryParse)
        .filter(millis -> millis >= 0 && millis <= MAX_WAITED.toMillis())
        .map(Duration::ofMillis)
        .orElse(Duration.ZERO);
  }

  /** Removes the headers of a forwarded request. */
  static void removeFromRequest(HttpHeaders headers) {
    REQUEST_HEADERS.forEach(headers::remove);
  }

  /** Removes the headers of a peer's refusal, which a response of an endpoint must not have. */
  static void removeFromResponse(HttpHeaders headers) {
    RESPONSE_HEADERS.forEach(headers::remove);
  }

  static void write(HttpHeaders headers, Refusal refusal) {
    headers.set(REASON, refusal.reason().code());
    headers.set(VERDICT, refusal.verdict().name());
    refusal.proof().ifPresent(proof -> headers.set(PROOF, proof.name()));
    refusal
        .retryAfter()
        .ifPresent(wait -> headers.set(RETRY_AFTER_MILLIS, Long.toString(wait.toMillis())));
  }

  /**
   * Reads the refusal of a peer; empty if the response is that of an endpoint.
   *
   * <p>A refusal that can't be read counts as one of a request that may have run, and one without a
   * proof that nothing was sent as one of a request that arrived at an endpoint.
   */
  static Optional<PeerRefusal> readRefusal(HttpHeaders headers) {
    Optional<String> reason = text(headers, REASON);
    if (reason.isEmpty()) {
      return Optional.empty();
    }
    Optional<Duration> retryAfter =
        text(headers, RETRY_AFTER_MILLIS)
            .map(Longs::tryParse)
            .filter(millis -> millis >= 0)
            .map(Duration::ofMillis);
    Verdict verdict =
        VERDICTS.getOrDefault(text(headers, VERDICT).orElse(""), Verdict.MAY_HAVE_RUN);
    boolean arrived = !text(headers, PROOF).filter(NO_ARRIVAL::contains).isPresent();
    return Optional.of(
        new PeerRefusal(
            REASONS.getOrDefault(reason.get(), Reason.INTERNAL), verdict, arrived, retryAfter));
  }

  private static Optional<String> text(HttpHeaders headers, CharSequence name) {
    return Optional.ofNullable(headers.get(name)).map(CharSequence::toString);
  }
}
