package org.vaneworks.protocol;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import org.vaneworks.coordination.load.EndpointLoad;
import org.vaneworks.coordination.load.EnginePace;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.protocol.generated.LoadProto;

/** Load reports as bytes; memory is rounded to thousands of tokens times layers. */
public final class LoadCodec {
  private static final long THOUSAND = 1000;

  private static final double HUNDREDTHS = 100;

  private LoadCodec() {}

  /** Encodes a report. */
  public static byte[] encode(LoadReport report) {
    LoadProto.LoadReport.Builder message =
        LoadProto.LoadReport.newBuilder()
            .setSender(report.sender())
            .setGroup(report.group())
            .setNodes(report.nodes());
    for (EndpointLoad load : report.loads()) {
      message.addEndpointKey(load.endpointKey());
      message.addRequests(load.requests());
      message.addThousandTokenLayers((int) Math.round((double) load.tokenLayers() / THOUSAND));
    }
    for (EnginePace engine : report.slow()) {
      message.addSlowKey(engine.endpointKey());
      message.addSlowPaceHundredths((int) Math.round(engine.pace() * HUNDREDTHS));
    }
    return message.build().toByteArray();
  }

  /**
   * Decodes a report.
   *
   * @throws IllegalArgumentException if the bytes are none
   */
  public static LoadReport decode(byte[] bytes) {
    LoadProto.LoadReport message = parse(bytes);
    int count = message.getEndpointKeyCount();
    boolean parallel =
        message.getRequestsCount() == count && message.getThousandTokenLayersCount() == count;
    checkArgument(parallel, "the lists of a report differ in length");
    ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      loads.add(
          new EndpointLoad(
              message.getEndpointKey(i),
              message.getRequests(i),
              message.getThousandTokenLayers(i) * THOUSAND));
    }
    checkArgument(
        message.getSlowKeyCount() == message.getSlowPaceHundredthsCount(),
        "the lists of slow engines differ in length");
    ImmutableList.Builder<EnginePace> slow = ImmutableList.builder();
    for (int i = 0; i < message.getSlowKeyCount(); i++) {
      double pace = message.getSlowPaceHundredths(i) / HUNDREDTHS;
      slow.add(new EnginePace(message.getSlowKey(i), pace));
    }
    // A report that names no number is of one node.
    int nodes = Math.max(1, message.getNodes());
    return new LoadReport(
        message.getSender(), message.getGroup(), nodes, loads.build(), slow.build());
  }

  private static LoadProto.LoadReport parse(byte[] bytes) {
    try {
      return LoadProto.LoadReport.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("not a load report: " + e.getMessage(), e);
    }
  }
}
