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

/** A message between nodes: a request or a reply. */
public sealed interface PeerMessage {
  /**
   * Checks whether the receiver is alive, and carries gossip; answered by {@link Ack}.
   *
   * @param gossip membership updates of the sender
   * @param joining whether the sender is joining and requests the complete member list
   */
  record Ping(Gossip gossip, boolean joining) implements PeerMessage {
    /** Checks that the gossip is not null. */
    public Ping {
      checkNotNull(gossip);
    }
  }

  /**
   * Asks the receiver to ping another node; answered by {@link Ack} if that node answered.
   *
   * @param target address of the node to ping
   * @param gossip membership updates of the sender
   */
  record PingFor(HostPort target, Gossip gossip) implements PeerMessage {
    /** Checks that no component is null. */
    public PingFor {
      checkNotNull(target);
      checkNotNull(gossip);
    }
  }

  /**
   * Answers a ping.
   *
   * @param gossip membership updates of the sender
   */
  record Ack(Gossip gossip) implements PeerMessage {
    /** Checks that the gossip is not null. */
    public Ack {
      checkNotNull(gossip);
    }
  }

  /** Requests the configuration head; answered by {@link Head}. */
  record AskHead() implements PeerMessage {}

  /**
   * Returns the configuration head in force.
   *
   * @param text the encoded head; empty if the sender has none
   */
  record Head(String text) implements PeerMessage {
    /** Checks that the text is not null. */
    public Head {
      checkNotNull(text);
    }
  }

  /**
   * Requests configuration pages; answered by {@link Pages}.
   *
   * @param hashes hashes of the pages
   */
  record AskPages(ImmutableSet<String> hashes) implements PeerMessage {
    /** Checks that the hashes are not null. */
    public AskPages {
      checkNotNull(hashes);
    }
  }

  /**
   * Returns configuration pages.
   *
   * @param pages texts of the requested pages that the sender has, by hash
   */
  record Pages(ImmutableMap<String, String> pages) implements PeerMessage {
    /** Checks that the pages are not null. */
    public Pages {
      checkNotNull(pages);
    }
  }

  /**
   * Asks the holder of a record to execute a request; answered by {@link OnceReply} or {@link
   * StillRunning}. If the request was already started, the reply refers to that execution.
   *
   * @param request the request
   */
  record RunOnce(OnceRequest request) implements PeerMessage {
    /** Checks that the request is not null. */
    public RunOnce {
      checkNotNull(request);
    }
  }

  /**
   * Returns the outcome of an at-most-once request.
   *
   * @param outcome the answer or refusal
   */
  record OnceReply(OnceOutcome outcome) implements PeerMessage {
    /** Checks that the outcome is not null. */
    public OnceReply {
      checkNotNull(outcome);
    }
  }

  /** Reports that an at-most-once request is still running; the sender may ask again later. */
  record StillRunning() implements PeerMessage {}

  /**
   * Asks the writer of a claim shard to claim keys; answered by {@link Claims}.
   *
   * @param shard index of the shard
   * @param claims the requested claims
   */
  record AskClaims(int shard, ImmutableList<Claim> claims) implements PeerMessage {
    /** Checks that the claims are not null. */
    public AskClaims {
      checkNotNull(claims);
    }
  }

  /**
   * Returns the holders of the requested keys, in the order of the request.
   *
   * @param held the claims in force
   */
  record Claims(ImmutableList<Claim> held) implements PeerMessage {
    /** Checks that the claims are not null. */
    public Claims {
      checkNotNull(held);
    }
  }

  /**
   * Transfers part of the records of a leaving node; answered by {@link Accepted}.
   *
   * @param part the part
   */
  record HandOver(RecordsPart part) implements PeerMessage {
    /** Checks that the part is not null. */
    public HandOver {
      checkNotNull(part);
    }
  }

  /** Confirms that the transferred records were stored. */
  record Accepted() implements PeerMessage {}

  /**
   * Reports that the request could not be served.
   *
   * @param why human-readable cause
   */
  record Failed(String why) implements PeerMessage {
    /** Checks that the cause is not null. */
    public Failed {
      checkNotNull(why);
    }
  }
}
