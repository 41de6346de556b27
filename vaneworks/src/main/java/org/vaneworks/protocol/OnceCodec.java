package org.vaneworks.protocol;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.once.OnceOutcome;
import org.vaneworks.coordination.once.OnceRecord;
import org.vaneworks.coordination.once.OnceRequest;
import org.vaneworks.coordination.once.OnceWork;
import org.vaneworks.coordination.once.RecordsPart;
import org.vaneworks.coordination.once.TicketAuthority;
import org.vaneworks.protocol.generated.PeerProto;
import org.vaneworks.state.NotRunProof;
import org.vaneworks.state.Priority;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;

/** Encodes requests that run at most once, and their records, as protobuf messages. */
final class OnceCodec {
  private OnceCodec() {}

  static PeerProto.OnceRequest write(OnceRequest request) {
    PeerProto.OnceRequest.Builder builder =
        PeerProto.OnceRequest.newBuilder()
            .setRecordId(request.recordId())
            .setMayCreate(request.mayCreate())
            .setWorkspace(request.workspace())
            .setPriority(request.priority().map(priority -> priority.ordinal() + 1).orElse(0))
            .setDeadlineMillis(request.deadline().map(Duration::toMillis).orElse(0L));
    if (request.work() instanceof OnceWork.Completion completion) {
      builder.setPrompt(completion.prompt()).setMaxTokens(completion.maxTokens().orElse(0));
    } else {
      OnceWork.Call call = (OnceWork.Call) request.work();
      builder
          .setService(call.service())
          .setMethod(call.method())
          .setPath(call.path())
          .setBody(call.body());
    }
    return builder.build();
  }

  static OnceRequest read(PeerProto.OnceRequest request) {
    Priority[] priorities = Priority.values();
    int priority = request.getPriority();
    return new OnceRequest(
        request.getRecordId(),
        request.getMayCreate(),
        request.getWorkspace(),
        readWork(request),
        priority >= 1 && priority <= priorities.length
            ? Optional.of(priorities[priority - 1])
            : Optional.empty(),
        request.getDeadlineMillis() > 0
            ? Optional.of(Duration.ofMillis(request.getDeadlineMillis()))
            : Optional.empty());
  }

  private static OnceWork readWork(PeerProto.OnceRequest request) {
    if (request.getService().isEmpty()) {
      int maxTokens = request.getMaxTokens();
      return new OnceWork.Completion(
          request.getPrompt(), maxTokens > 0 ? OptionalInt.of(maxTokens) : OptionalInt.empty());
    }
    return new OnceWork.Call(
        request.getService(), request.getMethod(), request.getPath(), request.getBody());
  }

  static PeerProto.OnceOutcome write(OnceOutcome outcome) {
    PeerProto.OnceOutcome.Builder builder = PeerProto.OnceOutcome.newBuilder();
    if (outcome instanceof OnceOutcome.Tokens tokens) {
      builder.setTokens(PeerProto.Tokens.newBuilder().addAllTokens(tokens.tokens()));
    } else if (outcome instanceof OnceOutcome.Replied replied) {
      builder.setReply(
          PeerProto.ServiceReply.newBuilder()
              .setStatus(replied.reply().status())
              .setContentType(replied.reply().contentType())
              .setBody(replied.reply().body()));
    } else {
      builder.setRefusal(write(((OnceOutcome.Refused) outcome).refusal()));
    }
    return builder.build();
  }

  private static PeerProto.Refusal write(Refusal refusal) {
    return PeerProto.Refusal.newBuilder()
        .setReason(refusal.reason().name())
        .setVerdict(refusal.verdict().name())
        .setDetail(refusal.detail())
        .setHasRetryAfter(refusal.retryAfter().isPresent())
        .setRetryAfterMillis(refusal.retryAfter().map(Duration::toMillis).orElse(0L))
        .build();
  }

  static OnceOutcome read(PeerProto.OnceOutcome outcome) {
    return switch (outcome.getKindCase()) {
      case TOKENS ->
          new OnceOutcome.Tokens(ImmutableList.copyOf(outcome.getTokens().getTokensList()));
      case REPLY ->
          new OnceOutcome.Replied(
              new ServiceReply(
                  outcome.getReply().getStatus(),
                  outcome.getReply().getContentType(),
                  outcome.getReply().getBody()));
      case REFUSAL -> new OnceOutcome.Refused(read(outcome.getRefusal()));
      case KIND_NOT_SET -> throw new IllegalArgumentException("an outcome without a kind");
    };
  }

  private static Refusal read(PeerProto.Refusal refusal) {
    Reason reason = Reason.valueOf(refusal.getReason());
    Refusal read =
        switch (Verdict.valueOf(refusal.getVerdict())) {
          case NOT_RUN -> Refusal.notRun(NotRunProof.HOME_REFUSED, reason, refusal.getDetail());
          case MAY_HAVE_RUN -> Refusal.mayHaveRun(reason, refusal.getDetail());
          case RAN -> Refusal.ran(reason, refusal.getDetail());
        };
    return refusal.getHasRetryAfter()
        ? read.withRetryAfter(Duration.ofMillis(refusal.getRetryAfterMillis()))
        : read;
  }

  static PeerProto.RecordsPart write(RecordsPart part) {
    PeerProto.RecordsPart.Builder builder =
        PeerProto.RecordsPart.newBuilder()
            .setFrom(part.from())
            .setPart(part.part())
            .setParts(part.parts());
    for (TicketAuthority authority : part.authorities()) {
      builder.addAuthorities(
          PeerProto.Authority.newBuilder()
              .setIdentity(authority.identity())
              .setSecret(authority.secret())
              .setClockMillis(authority.clockMillis()));
    }
    for (OnceRecord record : part.records()) {
      PeerProto.Record.Builder written =
          PeerProto.Record.newBuilder()
              .setRecordId(record.recordId())
              .setBodyHash(record.bodyHash());
      record.outcome().ifPresent(outcome -> written.setOutcome(write(outcome)));
      builder.addRecords(written);
    }
    return builder.build();
  }

  static RecordsPart read(PeerProto.RecordsPart part) {
    ImmutableList.Builder<TicketAuthority> authorities = ImmutableList.builder();
    for (PeerProto.Authority authority : part.getAuthoritiesList()) {
      authorities.add(
          new TicketAuthority(
              authority.getIdentity(), authority.getSecret(), authority.getClockMillis()));
    }
    ImmutableList.Builder<OnceRecord> records = ImmutableList.builder();
    for (PeerProto.Record record : part.getRecordsList()) {
      Optional<OnceOutcome> outcome =
          record.hasOutcome() ? Optional.of(read(record.getOutcome())) : Optional.empty();
      records.add(new OnceRecord(record.getRecordId(), record.getBodyHash(), outcome));
    }
    return new RecordsPart(
        part.getFrom(), part.getPart(), part.getParts(), authorities.build(), records.build());
  }
}
