package org.vaneworks.protocol;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import org.vaneworks.coordination.fleet.LinkLoad;
import org.vaneworks.coordination.load.EndpointLoad;
import org.vaneworks.coordination.load.EnginePace;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.coordination.load.ReportedRateLimit;
import org.vaneworks.protocol.generated.LoadProto;
import org.vaneworks.state.AdvertisedRateLimit;

/**
 * Encodes load reports as protobuf. Tokens times layers are rounded to thousands, link loads up to
 * megabits.
 */
public final class LoadCodec {
  private static final long THOUSAND = 1000;

  private static final double HUNDREDTHS = 100;

  /** Encodes that an earlier limit no longer applies. */
  private static final int NO_LIMIT = -1;

  /** The highest limit that can be encoded: two million requests per second, in effect no limit. */
  private static final int MAX_THOUSANDTHS = Integer.MAX_VALUE;

  private LoadCodec() {}

  /** Encodes a report. */
  public static byte[] encode(LoadReport report) {
    LoadProto.LoadReport.Builder message =
        LoadProto.LoadReport.newBuilder()
            .setSender(report.sender())
            .setGroup(report.group())
            .setNodes(report.nodes())
            .setConfiguration(report.configurationVersion());
    for (EndpointLoad load : report.loads()) {
      message.addEndpointKey(load.endpointKey());
      message.addRequests(load.requests());
      message.addThousandTokenLayers((int) Math.round((double) load.tokenLayers() / THOUSAND));
    }
    for (EnginePace engine : report.slowEngines()) {
      message.addSlowKey(engine.endpointKey());
      message.addSlowPaceHundredths((int) Math.round(engine.pace() * HUNDREDTHS));
    }
    for (ReportedRateLimit limit : report.limits()) {
      message.addLimitKey(limit.endpointKey());
      message.addLimitThousandths(thousandths(limit.limit()));
      message.addLimitAgeMillis((int) Math.min(Integer.MAX_VALUE, limit.age().toMillis()));
    }
    for (LinkLoad link : report.links()) {
      message.addLinkKey(link.linkKey());
      message.addLinkMegabits((int) Math.min(Integer.MAX_VALUE, Math.ceil(link.megabits())));
    }
    report.suspectedEngines().forEach(message::addSuspectedKey);
    return message.build().toByteArray();
  }

  /**
   * Decodes a report.
   *
   * @throws IllegalArgumentException if the bytes are not a load report
   */
  public static LoadReport decode(byte[] bytes) {
    LoadProto.LoadReport message = parse(bytes);
    int count = message.getEndpointKeyCount();
    boolean sameLength =
        message.getRequestsCount() == count && message.getThousandTokenLayersCount() == count;
    checkArgument(sameLength, "the lists of a report differ in length");
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
    ImmutableList<ReportedRateLimit> limits = limits(message);
    // A report without a number of nodes covers one node.
    int nodes = Math.max(1, message.getNodes());
    return new LoadReport(
        message.getSender(),
        message.getGroup(),
        nodes,
        loads.build(),
        slow.build(),
        limits,
        links(message),
        ImmutableList.copyOf(message.getSuspectedKeyList()),
        message.getConfiguration());
  }

  private static ImmutableList<LinkLoad> links(LoadProto.LoadReport message) {
    checkArgument(
        message.getLinkKeyCount() == message.getLinkMegabitsCount(),
        "the lists of links differ in length");
    ImmutableList.Builder<LinkLoad> links = ImmutableList.builder();
    for (int i = 0; i < message.getLinkKeyCount(); i++) {
      links.add(new LinkLoad(message.getLinkKey(i), message.getLinkMegabits(i)));
    }
    return links.build();
  }

  private static int thousandths(AdvertisedRateLimit limit) {
    if (!limit.isLimited()) {
      return NO_LIMIT;
    }
    return (int) Math.min(MAX_THOUSANDTHS, Math.round(limit.perSecond() * THOUSAND));
  }

  private static ImmutableList<ReportedRateLimit> limits(LoadProto.LoadReport message) {
    int count = message.getLimitKeyCount();
    boolean sameLength =
        message.getLimitThousandthsCount() == count && message.getLimitAgeMillisCount() == count;
    checkArgument(sameLength, "the lists of limits differ in length");
    ImmutableList.Builder<ReportedRateLimit> limits = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      int thousandths = message.getLimitThousandths(i);
      AdvertisedRateLimit limit =
          thousandths == NO_LIMIT
              ? AdvertisedRateLimit.none()
              : AdvertisedRateLimit.of((double) thousandths / THOUSAND);
      Duration age = Duration.ofMillis(message.getLimitAgeMillis(i));
      limits.add(new ReportedRateLimit(message.getLimitKey(i), limit, age));
    }
    return limits.build();
  }

  private static LoadProto.LoadReport parse(byte[] bytes) {
    try {
      return LoadProto.LoadReport.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("not a load report: " + e.getMessage(), e);
    }
  }
}
