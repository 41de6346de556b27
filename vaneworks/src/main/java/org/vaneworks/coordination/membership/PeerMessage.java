package org.vaneworks.coordination.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.vaneworks.coordination.once.Claim;
import org.vaneworks.coordination.once.OnceOutcome;
import org.vaneworks.coordination.once.OnceRequest;
import org.vaneworks.coordination.once.RecordsPart;
import org.vaneworks.state.HostPort;

/** What nodes say to each other: requests and their replies. */
public sealed interface PeerMessage {
  /**
   * Asks whether the receiver is alive, and brings news; answered by {@link Ack}.
   *
   * @param gossip news
   * @param joining whether the sender is new and wants the whole member list
   */
  record Ping(Gossip gossip, boolean joining) implements PeerMessage {
    /** Checks that the gossip is given. */
    public Ping {
      checkNotNull(gossip);
    }
  }

  /**
   * Asks the receiver to ping another; answered by {@link Ack} if that one answered.
   *
   * @param target whom to ping
   * @param gossip news
   */
  record PingFor(HostPort target, Gossip gossip) implements PeerMessage {
    /** Checks that both parts are given. */
    public PingFor {
      checkNotNull(target);
      checkNotNull(gossip);
    }
  }

  /**
   * Answers a ping.
   *
   * @param gossip news
   */
  record Ack(Gossip gossip) implements PeerMessage {
    /** Checks that the gossip is given. */
    public Ack {
      checkNotNull(gossip);
    }
  }

  /** Asks for the configuration head; answered by {@link Head}. */
  record AskHead() implements PeerMessage {}

  /**
   * Gives the configuration head in force.
   *
   * @param text the head's text; empty if none was read
   */
  record Head(String text) implements PeerMessage {
    /** Checks that the text is given. */
    public Head {
      checkNotNull(text);
    }
  }

  /**
   * Asks for configuration pages; answered by {@link Pages}.
   *
   * @param hashes which
   */
  record AskPages(ImmutableSet<String> hashes) implements PeerMessage {
    /** Checks that the hashes are given. */
    public AskPages {
      checkNotNull(hashes);
    }
  }

  /**
   * Gives configuration pages.
   *
   * @param pages texts by hash, of those that the sender has
   */
  record Pages(ImmutableMap<String, String> pages) implements PeerMessage {
    /** Checks that the pages are given. */
    public Pages {
      checkNotNull(pages);
    }
  }

  /**
   * Asks the holder of a record to run a request, or to give its answer; answered by {@link
   * OnceReply} or {@link StillRunning}. Asking again joins the run or gets its outcome.
   *
   * @param request the request
   */
  record RunOnce(OnceRequest request) implements PeerMessage {
    /** Checks that the request is given. */
    public RunOnce {
      checkNotNull(request);
    }
  }

  /**
   * Gives the outcome of a request that runs at most once.
   *
   * @param outcome answer or refusal
   */
  record OnceReply(OnceOutcome outcome) implements PeerMessage {
    /** Checks that the outcome is given. */
    public OnceReply {
      checkNotNull(outcome);
    }
  }

  /** Says that a request that runs at most once is running; ask again for its outcome. */
  record StillRunning() implements PeerMessage {}

  /**
   * Asks the writer of a claim shard to claim keys; answered by {@link Claims}.
   *
   * @param shard which shard
   * @param claims the claims wanted
   */
  record AskClaims(int shard, ImmutableList<Claim> claims) implements PeerMessage {
    /** Checks that the claims are given. */
    public AskClaims {
      checkNotNull(claims);
    }
  }

  /**
   * Says who holds the keys that were asked for, in the same order.
   *
   * @param held the claims in force
   */
  record Claims(ImmutableList<Claim> held) implements PeerMessage {
    /** Checks that the claims are given. */
    public Claims {
      checkNotNull(held);
    }
  }

  /**
   * Hands part of a leaving node's records over; answered by {@link Accepted}.
   *
   * @param part the part
   */
  record HandOver(RecordsPart part) implements PeerMessage {
    /** Checks that the part is given. */
    public HandOver {
      checkNotNull(part);
    }
  }

  /** Says that what was handed over was taken in. */
  record Accepted() implements PeerMessage {}

  /**
   * Says that the request could not be served.
   *
   * @param why for people
   */
  record Failed(String why) implements PeerMessage {
    /** Checks that the reason is given. */
    public Failed {
      checkNotNull(why);
    }
  }
}
