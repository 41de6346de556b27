package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.servicetalk.concurrent.Executor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.membership.Member;
import org.vaneworks.coordination.membership.MemberTable;
import org.vaneworks.coordination.membership.PeerLink;
import org.vaneworks.coordination.membership.PeerMessage;
import org.vaneworks.coordination.membership.PeerMessage.AskClaims;
import org.vaneworks.coordination.membership.PeerMessage.Claims;
import org.vaneworks.coordination.once.Claim;
import org.vaneworks.coordination.once.ClaimFormat;
import org.vaneworks.coordination.once.ClaimShard;
import org.vaneworks.coordination.once.OnceLimits;
import org.vaneworks.coordination.store.PlatformStore;

/**
 * Claims idempotency keys through the node that currently writes the shard of each key.
 *
 * <p>The writer of a shard is chosen by rendezvous hashing. If it does not answer, this node writes
 * the shard itself, which is equally safe. Thread-safe.
 */
final class ClaimService {
  /** Number of store documents that the claims are sharded over; docs/CAPACITY.md explains it. */
  static final int SHARDS = 8;

  private static final Duration LOCAL_CLAIM_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration WRITER_TIMEOUT = Duration.ofMillis(1500);

  private final Executor executor;
  private final PlatformStore store;
  private final ClaimFormat format;
  private final OnceLimits limits;
  private final MemberTable members;
  private final PeerLink link;
  private final Map<Integer, ClaimShard> shards = new ConcurrentHashMap<>();

  ClaimService(
      Executor executor,
      PlatformStore store,
      ClaimFormat format,
      OnceLimits limits,
      MemberTable members,
      PeerLink link) {
    this.executor = checkNotNull(executor);
    this.store = checkNotNull(store);
    this.format = checkNotNull(format);
    this.limits = checkNotNull(limits);
    this.members = checkNotNull(members);
    this.link = checkNotNull(link);
  }

  /** Returns the hash under which the idempotency key of a workspace is claimed. */
  static String hashOf(String workspace, String key) {
    return Hashing.sha256()
        .hashString(workspace + "\n" + key, StandardCharsets.UTF_8)
        .toString()
        .substring(0, 32);
  }

  /** Claims a key; returns the claim that holds it: this one or an earlier one. */
  CompletableFuture<Claim> claim(Claim claim) {
    int shard = shardOf(claim.key());
    String writer = members.rank("claims/" + shard).get(0);
    Optional<Member> peer =
        members.find(writer).filter(member -> !writer.equals(members.self().identity()));
    if (peer.isEmpty()) {
      return shard(shard).claim(claim, LOCAL_CLAIM_TIMEOUT);
    }
    AskClaims ask = new AskClaims(shard, ImmutableList.of(claim));
    return Async.compose(
        link.ask(peer.get().address(), ask, WRITER_TIMEOUT),
        (reply, failure) ->
            failure == null && reply instanceof Claims claims && claims.held().size() == 1
                ? CompletableFuture.completedFuture(claims.held().get(0))
                : shard(shard).claim(claim, LOCAL_CLAIM_TIMEOUT));
  }

  /** Claims keys on behalf of a peer. */
  CompletableFuture<PeerMessage> serve(AskClaims ask) {
    List<CompletableFuture<Claim>> held = new ArrayList<>();
    for (Claim claim : ask.claims()) {
      held.add(shard(ask.shard()).claim(claim, WRITER_TIMEOUT));
    }
    return CompletableFuture.allOf(held.toArray(CompletableFuture[]::new))
        .thenApply(
            done ->
                new Claims(
                    held.stream()
                        .map(CompletableFuture::join)
                        .collect(ImmutableList.toImmutableList())));
  }

  private ClaimShard shard(int number) {
    return shards.computeIfAbsent(
        number,
        each -> new ClaimShard("vaneworks/claims/" + each, executor, store, format, limits));
  }

  private static int shardOf(String key) {
    return Integer.parseUnsignedInt(key.substring(0, 4), 16) % SHARDS;
  }
}
