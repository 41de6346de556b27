package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
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
import org.vaneworks.coordination.once.OnceBook;
import org.vaneworks.coordination.once.OnceDelivery;
import org.vaneworks.coordination.once.OnceOutcome;
import org.vaneworks.coordination.once.OnceRecord;
import org.vaneworks.coordination.once.OnceRequest;
import org.vaneworks.coordination.once.OnceStarter;
import org.vaneworks.coordination.once.OnceWork;
import org.vaneworks.coordination.once.RecordsPart;
import org.vaneworks.coordination.once.TicketAuthority;
import org.vaneworks.coordination.once.TicketOffice;
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
 * Runs requests at most once, whichever node a caller asks.
 *
 * <p>Exactly one node may run a request: the home of its ticket, or the holder of its key's claim.
 * Any node sends the request there and passes the outcome on. When that node is gone the answer is
 * that the request may have run; nobody takes the right to run over, except by a planned hand-over.
 * Thread-safe.
 */
final class OnceService {
  private static final String CLAIM_RECORD = "claim:";
  private static final Duration FORWARD_LIMIT = Duration.ofMinutes(5);
  private static final Duration HAND_OVER_LIMIT = Duration.ofSeconds(5);
  private static final Duration ASK_AGAIN = Duration.ofSeconds(1);
  private static final int RECORDS_PER_PART = 200;
  private static final int MAX_SUCCESSORS = 8;
  private static final Duration HOLDER_LIMIT = Duration.ofSeconds(2);
  private static final Duration SAY_RUNNING_AFTER = Duration.ofSeconds(1);
  private static final int MAX_SILENCES = 2;

  private final Executor executor;
  private final OnceBook book;
  private final TicketOffice office;
  private final ClaimDesk desk;
  private final MemberTable members;
  private final PeerLink link;
  private final OnceStarter starter;
  private final Counters counters;
  private final AtomicLong claims = new AtomicLong();

  @GuardedBy("this")
  private final Map<String, Map<Integer, RecordsPart>> arriving = new HashMap<>();

  OnceService(
      Executor executor,
      OnceBook book,
      TicketOffice office,
      ClaimDesk desk,
      MemberTable members,
      PeerLink link,
      OnceStarter starter,
      Counters counters) {
    this.executor = checkNotNull(executor);
    this.book = checkNotNull(book);
    this.office = checkNotNull(office);
    this.desk = checkNotNull(desk);
    this.members = checkNotNull(members);
    this.link = checkNotNull(link);
    this.starter = checkNotNull(starter);
    this.counters = checkNotNull(counters);
  }

  /** Issues tickets whose home is this node. */
  ImmutableList<String> issue(int count) {
    return office.issue(count);
  }

  /**
   * Has a request run that carries a ticket or key; never fails.
   *
   * @param live takes a completion's tokens as they come, if it runs here
   */
  CompletableFuture<OnceOutcome> submit(
      String workspace, OnceWork work, CallerOptions options, AnswerSink live) {
    CompletableFuture<OnceOutcome> outcome =
        options.ticket().isPresent()
            ? byTicket(options.ticket().get(), workspace, work, options, live)
            : byKey(options.key().orElseThrow(), workspace, work, options, live);
    return outcome.exceptionally(
        failure -> new OnceOutcome.Refused(RefusalException.refusalOf(failure).withoutProof()));
  }

  private CompletableFuture<OnceOutcome> byTicket(
      String ticket, String workspace, OnceWork work, CallerOptions options, AnswerSink live) {
    String home;
    try {
      home = TicketOffice.homeOf(ticket);
    } catch (IllegalArgumentException e) {
      return refused(Refusal.nothingSent(Reason.UNKNOWN_TICKET, e.getMessage()));
    }
    OnceRequest request = request(ticket, true, workspace, work, options);
    return office.answersFor(home) ? here(request, live) : forward(home, request);
  }

  private static OnceRequest request(
      String recordId, boolean mayCreate, String workspace, OnceWork work, CallerOptions options) {
    return new OnceRequest(
        recordId, mayCreate, workspace, work, options.priority(), options.deadline());
  }

  private CompletableFuture<OnceOutcome> byKey(
      String key, String workspace, OnceWork work, CallerOptions options, AnswerSink live) {
    String self = members.self().identity();
    String claimId = self + "#" + claims.incrementAndGet();
    Claim wanted = new Claim(ClaimDesk.hashOf(workspace, key), self, claimId, work.hash());
    OnceRequest own = request(CLAIM_RECORD + claimId, true, workspace, work, options);
    // The record comes first: a repeat that finds the claim before this node does must wait.
    if (book.open(own.recordId(), work.hash(), true) instanceof OnceBook.Opening.Wait full) {
      return full.outcome();
    }
    return Async.compose(
        desk.claim(wanted),
        (held, failure) -> {
          if (failure != null) {
            return unclaimed(own, failure);
          }
          if (held.claimId().equals(claimId)) {
            counters.count(Metric.CLAIMS, "won");
            return started(own, live);
          }
          counters.count(Metric.CLAIMS, "held");
          book.discard(own.recordId());
          return byHeldClaim(held, workspace, work, options, live);
        });
  }

  /** Nothing ran, but the claim may yet turn out to be written: the record stays open to it. */
  private CompletableFuture<OnceOutcome> unclaimed(OnceRequest own, Throwable failure) {
    counters.count(Metric.CLAIMS, "unavailable");
    Refusal why = RefusalException.refusalOf(failure);
    Refusal nothingRan = Refusal.nothingSent(why.reason(), why.detail());
    book.finish(own.recordId(), new OnceOutcome.Refused(nothingRan));
    return refused(why.withoutProof());
  }

  private CompletableFuture<OnceOutcome> byHeldClaim(
      Claim held, String workspace, OnceWork work, CallerOptions options, AnswerSink live) {
    if (!held.bodyHash().equals(work.hash())) {
      return refused(Refusal.nothingSent(Reason.KEY_REUSED, "the first request had another body"));
    }
    OnceRequest request = request(CLAIM_RECORD + held.claimId(), false, workspace, work, options);
    return office.answersFor(held.holder()) ? here(request, live) : forward(held.holder(), request);
  }

  /** Runs a request or gives its outcome, as the node that alone may run it. */
  private CompletableFuture<OnceOutcome> here(OnceRequest request, AnswerSink live) {
    boolean mayCreate = request.mayCreate();
    if (!request.recordId().startsWith(CLAIM_RECORD)) {
      switch (office.worth(request.recordId())) {
        case FORGED -> {
          return refused(Refusal.nothingSent(Reason.UNKNOWN_TICKET, "the signature is not ours"));
        }
        case EXPIRED -> mayCreate = false;
        case VALID -> {}
      }
    }
    OnceBook.Opening opening = book.open(request.recordId(), request.work().hash(), mayCreate);
    if (opening instanceof OnceBook.Opening.Wait wait) {
      counters.count(Metric.TICKETS, "recorded");
      return wait.outcome();
    }
    counters.count(Metric.TICKETS, "started");
    return started(request, live);
  }

  private CompletableFuture<OnceOutcome> started(OnceRequest request, AnswerSink live) {
    return Async.compose(
        starter.start(request, live),
        (outcome, failure) -> {
          OnceOutcome known =
              failure == null
                  ? outcome
                  : new OnceOutcome.Refused(
                      Refusal.mayHaveRun(Reason.INTERNAL, String.valueOf(failure)));
          book.finish(request.recordId(), known);
          return CompletableFuture.completedFuture(known);
        });
  }

  private CompletableFuture<OnceOutcome> forward(String holder, OnceRequest request) {
    Optional<Member> present = presentHolder(holder);
    if (present.isEmpty()) {
      counters.count(Metric.TICKETS, "home-lost");
      return refused(Refusal.mayHaveRun(Reason.HOME_LOST, holder + " is gone"));
    }
    if (office.answersFor(present.get().identity()) && isSelf(present.get())) {
      return here(request, new OnceDelivery(NO_CALLER));
    }
    counters.count(Metric.TICKETS, "forwarded");
    long until = now() + request.deadline().orElse(FORWARD_LIMIT).toNanos();
    return askHolder(present.get(), request, until, 0);
  }

  /**
   * Asks the holder until the outcome is there. A holder that runs the request says so at once, so
   * silence means that it, or the way to it, is gone; a lost reply is made good by asking again.
   */
  private CompletableFuture<OnceOutcome> askHolder(
      Member holder, OnceRequest request, long until, int silences) {
    return Async.compose(
        link.ask(holder.address(), new RunOnce(request), HOLDER_LIMIT),
        (reply, failure) -> {
          if (failure == null && reply instanceof OnceReply once) {
            return CompletableFuture.completedFuture(once.outcome());
          }
          boolean running = failure == null && reply instanceof PeerMessage.StillRunning;
          boolean silent = failure != null && silences + 1 < MAX_SILENCES;
          if ((running || silent) && until - now() > 0) {
            return askHolder(holder, request, until, running ? 0 : silences + 1);
          }
          return refused(
              Refusal.mayHaveRun(Reason.HOME_LOST, holder.identity() + " does not answer")
                  .withRetryAfter(ASK_AGAIN));
        });
  }

  private long now() {
    return executor.currentTime(NANOSECONDS);
  }

  private boolean isSelf(Member member) {
    return member.identity().equals(members.self().identity());
  }

  /** Follows planned hand-overs to the node that has the records now. */
  private Optional<Member> presentHolder(String holder) {
    Optional<Member> member = members.find(holder);
    for (int i = 0; i < MAX_SUCCESSORS && member.isPresent(); i++) {
      if (member.get().isPresent()) {
        return member;
      }
      member = member.get().successor().flatMap(members::find);
    }
    return Optional.empty();
  }

  static final AnswerSink NO_CALLER =
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

  /** Serves a request that a peer sent to its holder. */
  CompletableFuture<PeerMessage> serve(RunOnce message) {
    OnceRequest request = message.request();
    if (!office.answersFor(holderOf(request.recordId()))) {
      return CompletableFuture.completedFuture(new PeerMessage.Failed("not the holder"));
    }
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    executor.schedule(() -> reply.complete(new PeerMessage.StillRunning()), SAY_RUNNING_AFTER);
    Async.onDone(
        here(request, NO_CALLER),
        executor,
        (outcome, failure) ->
            reply.complete(
                failure == null
                    ? new OnceReply(outcome)
                    : new PeerMessage.Failed(failure.toString())));
    return reply;
  }

  /** Claims keys for a peer whose shard's writer this node is. */
  CompletableFuture<PeerMessage> serve(PeerMessage.AskClaims ask) {
    return desk.serve(ask);
  }

  private static String holderOf(String recordId) {
    if (recordId.startsWith(CLAIM_RECORD)) {
      return recordId.substring(CLAIM_RECORD.length(), recordId.lastIndexOf('#'));
    }
    return TicketOffice.homeOf(recordId);
  }

  // Planned hand-over.

  /**
   * Hands every record to one other node; to be called once nothing runs any more.
   *
   * @return the successor, if one took everything
   */
  CompletableFuture<Optional<String>> handOver() {
    List<RecordsPart> parts = parts();
    String self = members.self().identity();
    List<Member> candidates =
        members.pick("records/" + self).stream()
            .filter(identity -> !identity.equals(self))
            .map(members::find)
            .flatMap(Optional::stream)
            .filter(member -> member.status() == MemberStatus.ALIVE)
            .toList();
    return handTo(candidates, 0, parts);
  }

  private List<RecordsPart> parts() {
    List<List<OnceRecord>> chunks = Lists.partition(book.records(), RECORDS_PER_PART);
    int count = Math.max(1, chunks.size());
    ImmutableList.Builder<RecordsPart> parts = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      ImmutableList<OnceRecord> records =
          i < chunks.size() ? ImmutableList.copyOf(chunks.get(i)) : ImmutableList.of();
      ImmutableList<TicketAuthority> authorities =
          i == count - 1 ? office.authorities() : ImmutableList.of();
      parts.add(new RecordsPart(members.self().identity(), i, count, authorities, records));
    }
    return parts.build();
  }

  private CompletableFuture<Optional<String>> handTo(
      List<Member> candidates, int index, List<RecordsPart> parts) {
    if (index == candidates.size()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    Member successor = candidates.get(index);
    return Async.compose(
        sendFrom(successor, parts, 0),
        (done, failure) -> {
          if (failure == null) {
            EventLog.info(
                Event.RECORDS_HANDED_OVER, "to", successor.identity(), "parts", parts.size());
            return CompletableFuture.completedFuture(Optional.of(successor.identity()));
          }
          // Another may take them only if it is sure that this one did not: else two nodes
          // would each believe that they alone may run.
          boolean surelyNot = failure instanceof PeerException peer && !peer.mayHaveArrived();
          return surelyNot
              ? handTo(candidates, index + 1, parts)
              : CompletableFuture.completedFuture(Optional.empty());
        });
  }

  private CompletableFuture<Void> sendFrom(Member successor, List<RecordsPart> parts, int part) {
    return link.ask(successor.address(), new HandOver(parts.get(part)), HAND_OVER_LIMIT)
        .thenCompose(
            reply -> {
              if (!(reply instanceof Accepted)) {
                return CompletableFuture.failedFuture(
                    PeerException.unanswered("records not taken: " + reply));
              }
              return part + 1 == parts.size()
                  ? CompletableFuture.completedFuture(null)
                  : sendFrom(successor, parts, part + 1);
            });
  }

  /** Takes part of a leaving node's records; all take effect together with the last. */
  PeerMessage take(HandOver message) {
    RecordsPart part = message.part();
    Map<Integer, RecordsPart> whole;
    synchronized (this) {
      whole = arriving.computeIfAbsent(part.from(), from -> new HashMap<>());
      whole.put(part.part(), part);
      if (part.part() + 1 < part.parts()) {
        return new Accepted();
      }
      arriving.remove(part.from());
    }
    if (whole.size() != part.parts()) {
      return new PeerMessage.Failed("got " + whole.size() + " of " + part.parts() + " parts");
    }
    whole.values().forEach(each -> book.adopt(each.records()));
    part.authorities().forEach(office::adopt);
    return new Accepted();
  }

  /** Returns how many records are held. */
  int records() {
    return book.size();
  }
}
