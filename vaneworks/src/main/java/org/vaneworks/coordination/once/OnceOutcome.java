package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;

/** How a request that runs at most once ended. */
public sealed interface OnceOutcome {
  /** Returns about how many bytes the outcome takes to keep. */
  int size();

  /** Returns whether it is known that no part ran, so that the request may still run. */
  default boolean isNotRun() {
    return this instanceof Refused refused && refused.refusal().verdict() == Verdict.NOT_RUN;
  }

  /**
   * A whole completion.
   *
   * @param tokens the answer
   */
  record Tokens(ImmutableList<String> tokens) implements OnceOutcome {
    /** Checks that the tokens are given. */
    public Tokens {
      checkNotNull(tokens);
    }

    @Override
    public int size() {
      return tokens.stream().mapToInt(String::length).sum();
    }
  }

  /**
   * A plain service's answer.
   *
   * @param reply the answer
   */
  record Replied(ServiceReply reply) implements OnceOutcome {
    /** Checks that the answer is given. */
    public Replied {
      checkNotNull(reply);
    }

    @Override
    public int size() {
      return reply.body().length();
    }
  }

  /**
   * A refusal or failure.
   *
   * @param refusal why
   */
  record Refused(Refusal refusal) implements OnceOutcome {
    /** Checks that the refusal is given. */
    public Refused {
      checkNotNull(refusal);
    }

    @Override
    public int size() {
      return refusal.detail().length();
    }
  }
}
