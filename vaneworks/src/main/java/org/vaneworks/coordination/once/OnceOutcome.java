package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;

/** The outcome of a request that runs at most once. */
public sealed interface OnceOutcome {
  /** Returns the approximate size of the outcome in bytes. */
  int size();

  /** Returns whether no part of the request ran for certain, so that it may be started again. */
  default boolean isNotRun() {
    return this instanceof Refused refused && refused.refusal().verdict() == Verdict.NOT_RUN;
  }

  /**
   * A completed completion.
   *
   * @param tokens the tokens of the answer
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
   * The answer of a plain service.
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
   * @param refusal the reason, and what is known about whether the request ran
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
