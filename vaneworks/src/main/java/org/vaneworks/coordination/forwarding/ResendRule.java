package org.vaneworks.coordination.forwarding;

import java.util.Optional;
import org.vaneworks.state.Verdict;
import org.vaneworks.state.entry.CallKind;

/**
 * The one table of what may be sent again.
 *
 * <table>
 * <caption>Decisions</caption>
 * <tr><th>verdict</th><th>kind</th><th>decision</th></tr>
 * <tr><td>not run</td><td>any</td><td>again, up to {@link #MAX_SENDS} sends</td></tr>
 * <tr><td>may have run, ran</td><td>idempotent</td><td>again while runs are left</td></tr>
 * <tr><td>may have run, ran</td><td>other</td><td>never</td></tr>
 * </table>
 *
 * <p>Beyond the table a resend needs time before the limit and a share of the retry budget; the
 * caller of this rule checks both.
 */
final class ResendRule {
  /** Sends that prove not to have run are bounded too, so that refusals can't multiply load. */
  static final int MAX_SENDS = 6;

  private ResendRule() {}

  /**
   * Returns why a request may not be sent again, empty if it may.
   *
   * @param verdict what is known of the last send
   * @param runs endpoints on which it ran or may have run
   * @param attempts the greatest number of endpoints on which it may run
   * @param sends sends so far
   */
  static Optional<ResendDenial> denial(
      CallKind kind, Verdict verdict, int runs, int attempts, int sends) {
    if (sends >= MAX_SENDS) {
      return Optional.of(ResendDenial.SENDS_EXHAUSTED);
    }
    if (verdict != Verdict.NOT_RUN && !kind.idempotent()) {
      return Optional.of(ResendDenial.NOT_REPEATABLE);
    }
    return runs < attempts ? Optional.empty() : Optional.of(ResendDenial.ATTEMPTS_EXHAUSTED);
  }
}
