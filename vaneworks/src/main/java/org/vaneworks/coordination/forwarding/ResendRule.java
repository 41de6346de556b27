package org.vaneworks.coordination.forwarding;

import java.util.Optional;
import org.vaneworks.state.Verdict;
import org.vaneworks.state.entry.CallKind;

/**
 * Decides which requests may be sent again.
 *
 * <table>
 * <caption>Decisions</caption>
 * <tr><th>verdict</th><th>kind</th><th>decision</th></tr>
 * <tr><td>not run</td><td>any</td><td>again, up to {@link #MAX_SENDS} sends</td></tr>
 * <tr><td>may have run, ran</td><td>idempotent</td><td>again while an endpoint may take it</td></tr>
 * <tr><td>may have run, ran</td><td>other</td><td>never</td></tr>
 * </table>
 *
 * <p>A resend also requires time before the deadline and retry budget; the caller of this class
 * checks both.
 */
final class ResendRule {
  /** Limits sends that did not run as well, so that refusals can't multiply load. */
  static final int MAX_SENDS = 6;

  private ResendRule() {}

  /**
   * Returns why a request may not be sent again, empty if it may.
   *
   * @param verdict whether the last send ran
   * @param endpointLeft whether the request may run on an endpoint, as it ran on fewer than its
   *     route allows or may return to one of them
   * @param sends the number of sends so far
   */
  static Optional<ResendDenial> denial(
      CallKind kind, Verdict verdict, boolean endpointLeft, int sends) {
    if (sends >= MAX_SENDS) {
      return Optional.of(ResendDenial.SENDS_EXHAUSTED);
    }
    if (verdict != Verdict.NOT_RUN && !kind.idempotent()) {
      return Optional.of(ResendDenial.NOT_REPEATABLE);
    }
    return endpointLeft ? Optional.empty() : Optional.of(ResendDenial.ATTEMPTS_EXHAUSTED);
  }
}
