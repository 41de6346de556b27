package org.vaneworks.tests.forwarding;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Optional;
import org.vaneworks.coordination.forwarding.AnswerHead;
import org.vaneworks.coordination.forwarding.CallerAnswer;
import org.vaneworks.state.Refusal;

/** What a caller got. */
public final class Got implements CallerAnswer {
  public Optional<Integer> status = Optional.empty();
  public Optional<Refusal> refusal = Optional.empty();
  public String body = "";
  public boolean whole;
  public boolean cut;
  public boolean keepsUp = true;
  Flow flow;

  @Override
  public void head(AnswerHead head) {
    status = Optional.of(head.status());
  }

  @Override
  public boolean data(byte[] bytes) {
    body += new String(bytes, UTF_8);
    return keepsUp;
  }

  @Override
  public void end() {
    whole = true;
  }

  @Override
  public void cut() {
    cut = true;
  }

  @Override
  public void refuse(Refusal given) {
    refusal = Optional.of(given);
  }
}
