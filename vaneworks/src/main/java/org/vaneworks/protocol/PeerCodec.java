package org.vaneworks.protocol;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.InetAddresses;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import org.vaneworks.coordination.endpoints.EndpointHint;
import org.vaneworks.coordination.membership.Gossip;
import org.vaneworks.coordination.membership.Member;
import org.vaneworks.coordination.membership.MemberStatus;
import org.vaneworks.coordination.membership.PeerMessage;
import org.vaneworks.coordination.once.Claim;
import org.vaneworks.protocol.generated.PeerProto;
import org.vaneworks.protocol.generated.PeerProto.Envelope;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.HostPort;

/** Encodes the messages between nodes as protobuf; {@code peer.proto} is the schema. */
public final class PeerCodec {
  /** Maximum length of an encoded message; a peer closes the connection on a longer one. */
  public static final int MAX_MESSAGE_BYTES = 8 << 20;

  private PeerCodec() {}

  /**
   * A message with the id that correlates a reply with its request.
   *
   * @param id the id, unique on its connection
   * @param message the message
   */
  public record NumberedMessage(long id, PeerMessage message) {}

  /** Encodes a message with its id. */
  public static byte[] encode(long id, PeerMessage message) {
    Envelope.Builder envelope = Envelope.newBuilder().setId(id);
    if (message instanceof PeerMessage.Ping ping) {
      envelope.setPing(
          PeerProto.Ping.newBuilder().setGossip(write(ping.gossip())).setJoining(ping.joining()));
    } else if (message instanceof PeerMessage.PingFor ping) {
      envelope.setPingFor(
          PeerProto.PingFor.newBuilder()
              .setTarget(write(ping.target()))
              .setGossip(write(ping.gossip())));
    } else if (message instanceof PeerMessage.Ack ack) {
      envelope.setAck(write(ack.gossip()));
    } else if (message instanceof PeerMessage.AskHead) {
      envelope.setAskHead(PeerProto.AskHead.getDefaultInstance());
    } else if (message instanceof PeerMessage.Head head) {
      envelope.setHead(PeerProto.Head.newBuilder().setText(head.text()));
    } else if (message instanceof PeerMessage.AskPages ask) {
      envelope.setAskPages(PeerProto.AskPages.newBuilder().addAllHashes(ask.hashes()));
    } else if (message instanceof PeerMessage.Pages pages) {
      envelope.setPages(PeerProto.Pages.newBuilder().putAllPages(pages.pages()));
    } else {
      encodeRecords(envelope, message);
    }
    return envelope.build().toByteArray();
  }

  private static void encodeRecords(Envelope.Builder envelope, PeerMessage message) {
    if (message instanceof PeerMessage.RunOnce run) {
      envelope.setRunOnce(OnceCodec.write(run.request()));
    } else if (message instanceof PeerMessage.OnceReply reply) {
      envelope.setOnceReply(OnceCodec.write(reply.outcome()));
    } else if (message instanceof PeerMessage.AskClaims ask) {
      PeerProto.AskClaims.Builder claims = PeerProto.AskClaims.newBuilder().setShard(ask.shard());
      ask.claims().forEach(claim -> claims.addClaims(write(claim)));
      envelope.setAskClaims(claims);
    } else if (message instanceof PeerMessage.Claims claims) {
      PeerProto.Claims.Builder held = PeerProto.Claims.newBuilder();
      claims.held().forEach(claim -> held.addHeld(write(claim)));
      envelope.setClaims(held);
    } else if (message instanceof PeerMessage.HandOver handOver) {
      envelope.setHandOver(OnceCodec.write(handOver.part()));
    } else if (message instanceof PeerMessage.StillRunning) {
      envelope.setStillRunning(PeerProto.StillRunning.getDefaultInstance());
    } else if (message instanceof PeerMessage.Accepted) {
      envelope.setAccepted(PeerProto.Accepted.getDefaultInstance());
    } else {
      String why = ((PeerMessage.Failed) message).why();
      envelope.setFailed(PeerProto.Failed.newBuilder().setWhy(why));
    }
  }

  /**
   * Decodes a message.
   *
   * @throws IllegalArgumentException if the bytes are not a valid message
   */
  public static NumberedMessage decode(byte[] bytes) {
    try {
      Envelope envelope = Envelope.parseFrom(bytes);
      return new NumberedMessage(envelope.getId(), read(envelope));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static PeerMessage read(Envelope envelope) {
    return switch (envelope.getBodyCase()) {
      case PING ->
          new PeerMessage.Ping(
              read(envelope.getPing().getGossip()), envelope.getPing().getJoining());
      case PING_FOR ->
          new PeerMessage.PingFor(
              read(envelope.getPingFor().getTarget()), read(envelope.getPingFor().getGossip()));
      case ACK -> new PeerMessage.Ack(read(envelope.getAck()));
      case ASK_HEAD -> new PeerMessage.AskHead();
      case HEAD -> new PeerMessage.Head(envelope.getHead().getText());
      case ASK_PAGES ->
          new PeerMessage.AskPages(ImmutableSet.copyOf(envelope.getAskPages().getHashesList()));
      case PAGES -> new PeerMessage.Pages(ImmutableMap.copyOf(envelope.getPages().getPagesMap()));
      case RUN_ONCE -> new PeerMessage.RunOnce(OnceCodec.read(envelope.getRunOnce()));
      case ONCE_REPLY -> new PeerMessage.OnceReply(OnceCodec.read(envelope.getOnceReply()));
      case ASK_CLAIMS ->
          new PeerMessage.AskClaims(
              envelope.getAskClaims().getShard(), readAll(envelope.getAskClaims().getClaimsList()));
      case CLAIMS -> new PeerMessage.Claims(readAll(envelope.getClaims().getHeldList()));
      case HAND_OVER -> new PeerMessage.HandOver(OnceCodec.read(envelope.getHandOver()));
      case STILL_RUNNING -> new PeerMessage.StillRunning();
      case ACCEPTED -> new PeerMessage.Accepted();
      case FAILED -> new PeerMessage.Failed(envelope.getFailed().getWhy());
      case BODY_NOT_SET -> throw new IllegalArgumentException("a message without a body");
    };
  }

  private static PeerProto.Gossip write(Gossip gossip) {
    PeerProto.Gossip.Builder builder =
        PeerProto.Gossip.newBuilder()
            .setSender(write(gossip.sender()))
            .setVersion(gossip.version());
    gossip.members().forEach(member -> builder.addMembers(write(member)));
    for (EndpointHint hint : gossip.leaving()) {
      builder.addLeaving(
          PeerProto.EndpointHint.newBuilder()
              .setBox(hint.endpoint().box())
              .setIncarnation(hint.endpoint().incarnation()));
    }
    return builder.build();
  }

  private static Gossip read(PeerProto.Gossip gossip) {
    return new Gossip(
        read(gossip.getSender()),
        gossip.getVersion(),
        gossip.getMembersList().stream()
            .map(PeerCodec::read)
            .collect(ImmutableList.toImmutableList()),
        gossip.getLeavingList().stream()
            .map(hint -> new EndpointHint(new EndpointId(hint.getBox(), hint.getIncarnation())))
            .collect(ImmutableList.toImmutableList()));
  }

  private static PeerProto.Member write(Member member) {
    return PeerProto.Member.newBuilder()
        .setIdentity(member.identity())
        .setAddress(write(member.address()))
        .setDataCentre(member.dataCentre())
        .setSequence(member.sequence())
        .setStatus(member.status().ordinal())
        .setSuccessor(member.successor().orElse(""))
        .build();
  }

  private static Member read(PeerProto.Member member) {
    MemberStatus[] statuses = MemberStatus.values();
    if (member.getStatus() >= statuses.length) {
      throw new IllegalArgumentException("unknown status " + member.getStatus());
    }
    return new Member(
        member.getIdentity(),
        read(member.getAddress()),
        member.getDataCentre(),
        member.getSequence(),
        statuses[member.getStatus()],
        Optional.of(member.getSuccessor()).filter(successor -> !successor.isEmpty()));
  }

  private static PeerProto.Address write(HostPort address) {
    byte[] ip = InetAddresses.forString(address.host()).getAddress();
    return PeerProto.Address.newBuilder()
        .setIp(ByteString.copyFrom(ip))
        .setPort(address.port())
        .build();
  }

  private static HostPort read(PeerProto.Address address) {
    try {
      InetAddress ip = InetAddress.getByAddress(address.getIp().toByteArray());
      return new HostPort(InetAddresses.toAddrString(ip), address.getPort());
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static PeerProto.Claim write(Claim claim) {
    return PeerProto.Claim.newBuilder()
        .setKey(claim.key())
        .setHolder(claim.holder())
        .setClaimId(claim.claimId())
        .setBodyHash(claim.bodyHash())
        .build();
  }

  private static ImmutableList<Claim> readAll(Iterable<PeerProto.Claim> claims) {
    ImmutableList.Builder<Claim> read = ImmutableList.builder();
    for (PeerProto.Claim claim : claims) {
      read.add(
          new Claim(claim.getKey(), claim.getHolder(), claim.getClaimId(), claim.getBodyHash()));
    }
    return read.build();
  }
}
