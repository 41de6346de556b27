package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.membership.Member;
import org.vaneworks.coordination.membership.MemberStatus;
import org.vaneworks.coordination.membership.MemberTable;
import org.vaneworks.coordination.membership.PeerException;
import org.vaneworks.coordination.membership.PeerLink;
import org.vaneworks.coordination.membership.PeerMessage;
import org.vaneworks.coordination.membership.PeerMessage.Accepted;
import org.vaneworks.coordination.membership.PeerMessage.HandOver;
import org.vaneworks.coordination.membership.PeerMessage.OnceReply;
import org.vaneworks.coordination.membership.PeerMessage.RunOnce;
import org.vaneworks.coordination.once.Claim;
import org.vaneworks.coordination.once.OnceDelivery;
import org.vaneworks.coordination.once.OnceOutcome;
import org.vaneworks.coordination.once.OnceRecord;
import org.vaneworks.coordination.once.OnceRecordTable;
import org.vaneworks.coordination.once.OnceRequest;
import org.vaneworks.coordination.once.OnceStarter;
import org.vaneworks.coordination.once.OnceWork;
import org.vaneworks.coordination.once.RecordsPart;
import org.vaneworks.coordination.once.TicketAuthority;
import org.vaneworks.coordination.once.TicketIssuer;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Runs each request with a ticket or an idempotency key at most once in the whole cluster.
 *
 * <p>Exactly one node may run such a request: the home of its ticket (the node that issued it), or
 * the holder of the claim of its key. Every other node forwards the request to that node and
 * returns the outcome. If that node has failed, the refusal states that the request may have run;
 * no other node may run it, unless the records were handed over during a planned stop. Thread-safe.
 */
final class OnceService {
  /** Prefix of the identifiers of records that belong to a claim rather than to a ticket. */
  private static final String CLAIM_RECORD_PREFIX = "claim:";

  /** How long a request without a deadline is forwarded. */
  private static final Duration DEFAULT_FORWARD_TIMEOUT = Duration.ofMinutes(5);

  private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration HOLDER_LOST_RETRY_AFTER = Duration.ofSeconds(1);
  private static final int RECORDS_PER_PART = 200;

  /** Maximum encoded size of the records in one part; messages between peers end at 8 MiB. */
  private static final int MAX_PART_BYTES = 7 << 20;

  /** Upper bound on the encoded size of a record without the texts of its outcome. */
  private static final int RECORD_OVERHEAD_BYTES = 1024;

  /** Upper bound on the encoded size of a text's tag and length. */
  private static final int TEXT_OVERHEAD_BYTES = 8;

  /** Maximum number of hand-overs that are followed to find the current holder of a record. */
  private static final int MAX_SUCCESSORS = 8;

  private static final Duration HOLDER_TIMEOUT = Duration.ofSeconds(2);

  /** When to report a request as still running; below {@link #HOLDER_TIMEOUT}. */
  private static final Duration STILL_RUNNING_DELAY = Duration.ofSeconds(1);

  /** Limits the rate of calls to a holder that refuses connections. */
  private static final Duration UNANSWERED_RETRY_DELAY = Duration.ofMillis(200);

  private final Executor executor;
  private final OnceRecordTable records;
  private final TicketIssuer ticketIssuer;
  private final ClaimService claimService;
  private final MemberTable members;
  private final PeerLink link;
  private final OnceStarter starter;
  private final Counters counters;
  private final AtomicLong claims = new AtomicLong();

  @GuardedBy("this")
  private final Map<String, Map<Integer, RecordsPart>> receivedParts = new HashMap<>();

  OnceService(
      Executor executor,
      OnceRecordTable records,
      TicketIssuer ticketIssuer,
      ClaimService claimService,
      MemberTable members,
      PeerLink link,
      OnceStarter starter,
      Counters counters) {
    this.executor = checkNotNull(executor);
    this.records = checkNotNull(records);
    this.ticketIssuer = checkNotNull(ticketIssuer);
    this.claimService = checkNotNull(claimService);
    this.members = checkNotNull(members);
    this.link = checkNotNull(link);
    this.starter = checkNotNull(starter);
    this.counters = checkNotNull(counters);
  }

  /** Issues the given number of tickets, whose home is this node. */
  ImmutableList<String> issue(int count) {
    return ticketIssuer.issue(count);
  }

  /**
   * Runs a request that has a ticket or an idempotency key, on this node or on the one that may run
   * it.
   *
   * @param live receives the tokens of a completion as they are generated, if it runs on this node
   * @return the outcome; the future never completes exceptionally
   */
  CompletableFuture<OnceOutcome> submit(
      String workspace, OnceWork work, CallerOptions options, AnswerSink live) {
    CompletableFuture<OnceOutcome> outcome =
        options.ticket().isPresent()
            ? submitByTicket(options.ticket().get(), workspace, work, options, live)
            : submitByKey(options.key().orElseThrow(), workspace, work, options, live);
    return outcome.exceptionally(
        failure -> new OnceOutcome.Refused(RefusalException.refusalOf(failure).withoutProof()));
  }

  private CompletableFuture<OnceOutcome> submitByTicket(
      String ticket, String workspace, OnceWork work, CallerOptions options, AnswerSink live) {
    String home;
    try {
      home = TicketIssuer.homeOf(ticket);
    } catch (IllegalArgumentException e) {
      return refused(Refusal.nothingSent(Reason.UNKNOWN_TICKET, e.getMessage()));
    }
    OnceRequest request = request(ticket, true, workspace, work, options);
    return ticketIssuer.isResponsibleFor(home) ? runLocally(request, live) : forward(home, request);
  }

  private static OnceRequest request(
      String recordId, boolean mayCreate, String workspace, OnceWork work, CallerOptions options) {
    return new OnceRequest(
        recordId, mayCreate, workspace, work, options.priority(), options.deadline());
  }

  private CompletableFuture<OnceOutcome> submitByKey(
      String key, String workspace, OnceWork work, CallerOptions options, AnswerSink live) {
    String self = members.self().identity();
    String claimId = self + "#" + claims.incrementAndGet();
    Claim claim = new Claim(ClaimService.hashOf(workspace, key), self, claimId, work.hash());
    OnceRequest request = request(CLAIM_RECORD_PREFIX + claimId, true, workspace, work, options);
    // Created before the claim: a repeated request may read the claim before this node learns that
    // it won, and must then wait for this record.
    if (records.start(request.recordId(), work.hash(), true)
        instanceof OnceRecordTable.Decision.Wait existing) {
      return existing.outcome();
    }
    return Async.compose(
        claimService.claim(claim),
        (held, failure) -> {
          if (failure != null) {
            return refuseUnclaimed(request, failure);
          }
          if (held.claimId().equals(claimId)) {
            counters.count(Metric.CLAIMS, "won");
            return startAndRecord(request, live);
          }
          counters.count(Metric.CLAIMS, "held");
          records.discard(request.recordId());
          return followClaim(held, workspace, work, options, live);
        });
  }

  /**
   * Refuses a request whose claim has an unknown outcome. Nothing ran, but the claim may have been
   * written, so the record is kept and the request may still be started.
   */
  private CompletableFuture<OnceOutcome> refuseUnclaimed(OnceRequest request, Throwable failure) {
    counters.count(Metric.CLAIMS, "unavailable");
    Refusal refusal = RefusalException.refusalOf(failure);
    Refusal nothingRan = Refusal.nothingSent(refusal.reason(), refusal.detail());
    records.finish(request.recordId(), new OnceOutcome.Refused(nothingRan));
    return refused(refusal.withoutProof());
  }

  private CompletableFuture<OnceOutcome> followClaim(
      Claim held, String workspace, OnceWork work, CallerOptions options, AnswerSink live) {
    if (!held.bodyHash().equals(work.hash())) {
      return refused(Refusal.nothingSent(Reason.KEY_REUSED, "the first request had another body"));
    }
    OnceRequest request =
        request(CLAIM_RECORD_PREFIX + held.claimId(), false, workspace, work, options);
    return ticketIssuer.isResponsibleFor(held.holder())
        ? runLocally(request, live)
        : forward(held.holder(), request);
  }

  /** Runs a request, or returns its recorded outcome, on the node that may run it. */
  private CompletableFuture<OnceOutcome> runLocally(OnceRequest request, AnswerSink live) {
    return decide(request) instanceof OnceRecordTable.Decision.Wait wait
        ? wait.outcome()
        : startAndRecord(request, live);
  }

  /** Decides whether this node, which alone may run the request, is to run it now. */
  private OnceRecordTable.Decision decide(OnceRequest request) {
    boolean mayCreate = request.mayCreate();
    if (!request.recordId().startsWith(CLAIM_RECORD_PREFIX)) {
      switch (ticketIssuer.verify(request.recordId())) {
        case FORGED -> {
          return new OnceRecordTable.Decision.Wait(
              refused(Refusal.nothingSent(Reason.UNKNOWN_TICKET, "the signature is not ours")));
        }
        case EXPIRED -> mayCreate = false;
        case VALID -> {}
      }
    }
    OnceRecordTable.Decision decision =
        records.start(request.recordId(), request.work().hash(), mayCreate);
    boolean starts = decision instanceof OnceRecordTable.Decision.Start;
    counters.count(Metric.TICKETS, starts ? "started" : "recorded");
    return decision;
  }

  private CompletableFuture<OnceOutcome> startAndRecord(OnceRequest request, AnswerSink live) {
    return Async.compose(
        starter.start(request, live),
        (outcome, failure) -> {
          OnceOutcome recorded =
              failure == null
                  ? outcome
                  : new OnceOutcome.Refused(
                      Refusal.mayHaveRun(Reason.INTERNAL, String.valueOf(failure)));
          records.finish(request.recordId(), withoutUnstatedEnd(recorded));
          return CompletableFuture.completedFuture(recorded);
        });
  }

  /** Replaces an answer of which a part may be missing, so that it is not given out again. */
  private static OnceOutcome withoutUnstatedEnd(OnceOutcome outcome) {
    return outcome instanceof OnceOutcome.Replied replied && !replied.reply().endStated()
        ? new OnceOutcome.Refused(
            Refusal.ran(Reason.RECORD_GONE, "the service did not state the end of its answer"))
        : outcome;
  }

  private CompletableFuture<OnceOutcome> forward(String holder, OnceRequest request) {
    if (currentHolder(holder).isEmpty()) {
      counters.count(Metric.TICKETS, "home-lost");
      return refused(Refusal.mayHaveRun(Reason.HOME_LOST, holder + " is gone"));
    }
    counters.count(Metric.TICKETS, "forwarded");
    long deadline = now() + request.deadline().orElse(DEFAULT_FORWARD_TIMEOUT).toNanos();
    return askHolder(holder, request, deadline);
  }

  /**
   * Sends a request to its holder and repeats the call until the outcome is known.
   *
   * <p>A holder that is still running the request replies so well within the timeout. A missing
   * reply says nothing about the run: the connection may have failed, or the reply may have been
   * lost. The call is therefore repeated until the holder is known to have left or failed; if it
   * handed its records over, their new holder is asked.
   */
  private CompletableFuture<OnceOutcome> askHolder(
      String holder, OnceRequest request, long deadline) {
    Optional<Member> present = currentHolder(holder);
    if (present.isEmpty()) {
      counters.count(Metric.TICKETS, "home-lost");
      return refused(
          Refusal.mayHaveRun(Reason.HOME_LOST, holder + " is gone")
              .withRetryAfter(HOLDER_LOST_RETRY_AFTER));
    }
    if (ticketIssuer.isResponsibleFor(present.get().identity()) && isSelf(present.get())) {
      return runLocally(request, new OnceDelivery(DISCARDING_SINK));
    }
    return Async.compose(
        link.ask(present.get().address(), new RunOnce(request), HOLDER_TIMEOUT),
        (reply, failure) -> {
          if (failure == null && reply instanceof OnceReply onceReply) {
            return CompletableFuture.completedFuture(onceReply.outcome());
          }
          if (failure == null && !(reply instanceof PeerMessage.StillRunning)) {
            return refused(
                Refusal.mayHaveRun(Reason.HOME_LOST, present.get().identity() + ": " + reply)
                    .withRetryAfter(HOLDER_LOST_RETRY_AFTER));
          }
          if (deadline - now() <= 0) {
            return refused(
                Refusal.mayHaveRun(
                    Reason.DEADLINE, "no outcome in time of " + present.get().identity()));
          }
          if (failure == null) {
            return askHolder(holder, request, deadline);
          }
          counters.count(Metric.TICKETS, "unanswered");
          return Async.delay(executor, UNANSWERED_RETRY_DELAY)
              .thenCompose(elapsed -> askHolder(holder, request, deadline));
        });
  }

  private long now() {
    return executor.currentTime(NANOSECONDS);
  }

  private boolean isSelf(Member member) {
    return member.identity().equals(members.self().identity());
  }

  /** Follows planned hand-overs to the node that currently holds the records. */
  private Optional<Member> currentHolder(String holder) {
    Optional<Member> member = members.find(holder);
    for (int i = 0; i < MAX_SUCCESSORS && member.isPresent(); i++) {
      if (member.get().isPresent()) {
        return member;
      }
      member = member.get().successor().flatMap(members::find);
    }
    return Optional.empty();
  }

  static final AnswerSink DISCARDING_SINK =
      new AnswerSink() {
        @Override
        public void token(String text) {}

        @Override
        public void complete() {}

        @Override
        public void failed(Refusal refusal) {}
      };

  private static CompletableFuture<OnceOutcome> refused(Refusal refusal) {
    return CompletableFuture.completedFuture(new OnceOutcome.Refused(refusal));
  }

  /**
   * Handles a request that a peer forwarded to this node as its holder.
   *
   * @param onRunEnded called once the run that this message started has ended and is recorded, or
   *     at once if the message started none; the reply may come earlier
   */
  CompletableFuture<PeerMessage> serve(RunOnce message, Runnable onRunEnded) {
    OnceRequest request = message.request();
    if (!ticketIssuer.isResponsibleFor(holderOf(request.recordId()))) {
      onRunEnded.run();
      return CompletableFuture.completedFuture(new PeerMessage.Failed("not the holder"));
    }
    if (decide(request) instanceof OnceRecordTable.Decision.Wait wait) {
      onRunEnded.run();
      return replyWith(wait.outcome());
    }
    CompletableFuture<OnceOutcome> outcome = startAndRecord(request, DISCARDING_SINK);
    CompletableFuture<PeerMessage> reply = replyWith(outcome);
    Async.onDone(outcome, executor, (recorded, failure) -> onRunEnded.run());
    return reply;
  }

  /** Handles a forwarded request only if it runs or has run; returns empty if it may be started. */
  Optional<CompletableFuture<PeerMessage>> join(RunOnce message) {
    OnceRequest request = message.request();
    return records.find(request.recordId(), request.work().hash()).map(this::replyWith);
  }

  /** Replies with the outcome, or after a while that the request still runs. */
  private CompletableFuture<PeerMessage> replyWith(CompletableFuture<OnceOutcome> outcome) {
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    executor.schedule(() -> reply.complete(new PeerMessage.StillRunning()), STILL_RUNNING_DELAY);
    Async.onDone(
        outcome,
        executor,
        (known, failure) ->
            reply.complete(
                failure == null
                    ? new OnceReply(known)
                    : new PeerMessage.Failed(failure.toString())));
    return reply;
  }

  /** Claims keys on behalf of a peer, as the writer of their shard. */
  CompletableFuture<PeerMessage> serve(PeerMessage.AskClaims ask) {
    return claimService.serve(ask);
  }

  private static String holderOf(String recordId) {
    if (recordId.startsWith(CLAIM_RECORD_PREFIX)) {
      return recordId.substring(CLAIM_RECORD_PREFIX.length(), recordId.lastIndexOf('#'));
    }
    return TicketIssuer.homeOf(recordId);
  }

  // Planned hand-over.

  /**
   * Hands all records over to one other node. Must be called only after all requests have ended.
   *
   * @return identity of the successor; empty if no node accepted all records
   */
  CompletableFuture<Optional<String>> handOver() {
    List<RecordsPart> parts = parts();
    String self = members.self().identity();
    List<Member> candidates =
        members.rank("records/" + self).stream()
            .filter(identity -> !identity.equals(self))
            .map(members::find)
            .flatMap(Optional::stream)
            .filter(member -> member.status() == MemberStatus.ALIVE)
            .toList();
    return handOverTo(candidates, 0, parts);
  }

  private List<RecordsPart> parts() {
    List<ImmutableList<OnceRecord>> chunks = chunks();
    ImmutableList.Builder<RecordsPart> parts = ImmutableList.builder();
    for (int i = 0; i < chunks.size(); i++) {
      ImmutableList<TicketAuthority> authorities =
          i == chunks.size() - 1 ? ticketIssuer.authorities() : ImmutableList.of();
      parts.add(
          new RecordsPart(members.self().identity(), i, chunks.size(), authorities, chunks.get(i)));
    }
    return parts.build();
  }

  /** Divides the records into chunks that each fit into one message; there is at least one. */
  private List<ImmutableList<OnceRecord>> chunks() {
    List<ImmutableList<OnceRecord>> chunks = new ArrayList<>();
    List<OnceRecord> chunk = new ArrayList<>();
    long bytes = 0;
    for (OnceRecord each : records.records()) {
      OnceRecord record = encodedBytes(each) <= MAX_PART_BYTES ? each : withoutAnswer(each);
      if (chunk.size() == RECORDS_PER_PART || bytes + encodedBytes(record) > MAX_PART_BYTES) {
        chunks.add(ImmutableList.copyOf(chunk));
        chunk.clear();
        bytes = 0;
      }
      chunk.add(record);
      bytes += encodedBytes(record);
    }
    chunks.add(ImmutableList.copyOf(chunk));
    return chunks;
  }

  /** Returns an upper bound on the encoded size of a record. */
  private static long encodedBytes(OnceRecord record) {
    Stream<String> texts = record.outcome().map(OnceService::textsOf).orElse(Stream.empty());
    return RECORD_OVERHEAD_BYTES
        + texts.mapToLong(text -> text.getBytes(UTF_8).length + TEXT_OVERHEAD_BYTES).sum();
  }

  private static Stream<String> textsOf(OnceOutcome outcome) {
    if (outcome instanceof OnceOutcome.Tokens answer) {
      return answer.tokens().stream();
    }
    return outcome instanceof OnceOutcome.Replied answer
        ? Stream.of(answer.reply().body())
        : Stream.of(((OnceOutcome.Refused) outcome).refusal().detail());
  }

  /** Replaces an answer that fits into no message; the record still prevents a second run. */
  private static OnceRecord withoutAnswer(OnceRecord record) {
    Refusal tooLarge =
        Refusal.ran(Reason.RECORD_GONE, "its answer was too large to be handed over");
    return new OnceRecord(
        record.recordId(), record.bodyHash(), Optional.of(new OnceOutcome.Refused(tooLarge)));
  }

  private CompletableFuture<Optional<String>> handOverTo(
      List<Member> candidates, int index, List<RecordsPart> parts) {
    if (index == candidates.size()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    Member successor = candidates.get(index);
    return Async.compose(
        sendParts(successor, parts, 0),
        (done, failure) -> {
          if (failure == null) {
            EventLog.info(
                Event.RECORDS_HANDED_OVER, "to", successor.identity(), "parts", parts.size());
            return CompletableFuture.completedFuture(Optional.of(successor.identity()));
          }
          // Try another node only if this one certainly has not accepted the records. Otherwise
          // two nodes could both run the same request.
          boolean certainlyNotReceived =
              failure instanceof PeerException peer && !peer.mayHaveArrived();
          return certainlyNotReceived
              ? handOverTo(candidates, index + 1, parts)
              : CompletableFuture.completedFuture(Optional.empty());
        });
  }

  private CompletableFuture<Void> sendParts(Member successor, List<RecordsPart> parts, int part) {
    return link.ask(successor.address(), new HandOver(parts.get(part)), HAND_OVER_TIMEOUT)
        .thenCompose(
            reply -> {
              if (!(reply instanceof Accepted)) {
                return CompletableFuture.failedFuture(
                    PeerException.unanswered("records not accepted: " + reply));
              }
              return part + 1 == parts.size()
                  ? CompletableFuture.completedFuture(null)
                  : sendParts(successor, parts, part + 1);
            });
  }

  /** Receives one part of a stopping node's records; they take effect with the last part. */
  PeerMessage receive(HandOver message) {
    RecordsPart part = message.part();
    Map<Integer, RecordsPart> allParts;
    synchronized (this) {
      allParts = receivedParts.computeIfAbsent(part.from(), from -> new HashMap<>());
      allParts.put(part.part(), part);
      if (part.part() + 1 < part.parts()) {
        return new Accepted();
      }
      receivedParts.remove(part.from());
    }
    if (allParts.size() != part.parts()) {
      return new PeerMessage.Failed("got " + allParts.size() + " of " + part.parts() + " parts");
    }
    allParts.values().forEach(each -> records.addAll(each.records()));
    part.authorities().forEach(ticketIssuer::addAuthority);
    return new Accepted();
  }

  /** Returns the number of records. */
  int recordCount() {
    return records.size();
  }
}
