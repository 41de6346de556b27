package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.vaneworks.tests.Schedules;

/**
 * One random simulation of a minute, which checks to which endpoints a node sends new work.
 *
 * <p>Endpoints renew their entries, join and leave. The store has outages, the node is disconnected
 * from it, and both may overlap.
 */
final class EndpointListSimulation {
  private static final int STEPS = 600;
  private static final int STEP_MILLIS = 100;

  /** The interval of renewals; an entry expires after three missed renewals. */
  private static final int RENEWAL_MILLIS = 1200;

  private static final int EXPIRY_MILLIS = 3 * RENEWAL_MILLIS;

  /**
   * An endpoint that has left must get no new work this long after that, or after the last fault.
   */
  private static final int LEAVE_DETECTION_MILLIS = 2000;

  /** The node must know of all changes this long after the last fault. */
  private static final int RECONNECT_MILLIS = 3000;

  /** As above if only the node was disconnected, so that a single read of the store is enough. */
  private static final int RECONNECT_WITHOUT_OUTAGE_MILLIS = 2000;

  /** All live endpoints must be in use this long after the last fault. */
  private static final int RECOVERY_MILLIS = 3500;

  /**
   * From this length of an outage until the next constant, some entries have expired and others
   * have not; there is no guarantee for outages in between.
   */
  private static final int SOME_EXPIRED_FROM_MILLIS = EXPIRY_MILLIS - RENEWAL_MILLIS;

  private static final int ALL_EXPIRED_FROM_MILLIS = EXPIRY_MILLIS + 2 * RENEWAL_MILLIS;

  private static final int MAX_ENDPOINTS = 8;
  private static final double FAULT_CHANCE = 0.015;
  private static final double LEAVE_CHANCE = 0.01;
  private static final double JOIN_CHANCE = 0.01;

  private static final class Endpoint {
    final String id;
    final long createdAt;
    long renewsAt;
    long renewedAt;
    boolean left;
    long leftAt = Long.MAX_VALUE;

    Endpoint(String id, long createdAt) {
      this.id = id;
      this.createdAt = createdAt;
    }
  }

  private final Random random;
  private final FleetWatchFixture node;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();
  private boolean entriesExpire;
  private long outageFrom = -1;
  private long outageUntil = -1;
  private long disconnectedFrom = -1;
  private long disconnectedUntil = -1;
  private long quietBeforeOutage;
  private long quietBeforeDisconnect;
  private int disconnects;
  private int outages;
  private int left;

  private EndpointListSimulation(long seed) {
    random = new Random(seed);
    node = new FleetWatchFixture(seed);
  }

  static Schedules.Result run(long seed) {
    EndpointListSimulation simulation = new EndpointListSimulation(seed);
    simulation.run();
    return new Schedules.Result(
        ImmutableList.copyOf(simulation.problems),
        ImmutableMap.of(
            "disconnects",
            simulation.disconnects,
            "outages",
            simulation.outages,
            "left",
            simulation.left));
  }

  private void run() {
    for (int i = 0; i < 3; i++) {
      join();
    }
    node.follower.start();
    node.advance(RECONNECT_MILLIS);
    for (int step = 0; step < STEPS && problems.isEmpty(); step++) {
      beginFaults();
      endFaults();
      changeEndpoints();
      renewAndExpire();
      node.advance(STEP_MILLIS);
      checkUsable();
    }
  }

  private void beginFaults() {
    long now = node.nowMillis();
    long quiet = now - Math.max(outageUntil, disconnectedUntil);
    if (now >= outageUntil && random.nextDouble() < FAULT_CHANCE) {
      outages++;
      outageFrom = now;
      quietBeforeOutage = quiet;
      outageUntil = now + 500 + random.nextInt(9000);
      entriesExpire = random.nextBoolean();
      node.store.down = true;
    }
    if (now >= disconnectedUntil && random.nextDouble() < FAULT_CHANCE) {
      disconnects++;
      disconnectedFrom = now;
      quietBeforeDisconnect = quiet;
      disconnectedUntil = now + 500 + random.nextInt(12_000);
      node.link.cut(true);
    }
  }

  private void endFaults() {
    long now = node.nowMillis();
    node.store.down = now < outageUntil;
    node.link.cut(now < disconnectedUntil);
  }

  private void changeEndpoints() {
    List<Endpoint> living = endpoints.stream().filter(endpoint -> !endpoint.left).toList();
    if (living.size() > 2 && random.nextDouble() < LEAVE_CHANCE) {
      living.get(random.nextInt(living.size())).left = true;
      left++;
    }
    if (living.size() < MAX_ENDPOINTS && random.nextDouble() < JOIN_CHANCE) {
      join();
    }
  }

  private void join() {
    Endpoint endpoint = new Endpoint("e" + endpoints.size(), node.nowMillis());
    endpoint.renewsAt = endpoint.createdAt;
    endpoints.add(endpoint);
    renewAndExpire();
  }

  private void renewAndExpire() {
    long now = node.nowMillis();
    for (Endpoint endpoint : endpoints) {
      boolean listed = node.isListed(endpoint.id);
      if (endpoint.left) {
        if (listed && (!node.store.down || isExpired(endpoint, now))) {
          node.unlist(endpoint.id);
        }
        if (endpoint.leftAt == Long.MAX_VALUE && !node.isListed(endpoint.id)) {
          endpoint.leftAt = now;
        }
      } else if (now >= endpoint.renewsAt) {
        renew(endpoint, now);
      } else if (listed && node.store.down && isExpired(endpoint, now)) {
        node.unlist(endpoint.id);
      }
    }
  }

  private void renew(Endpoint endpoint, long now) {
    endpoint.renewsAt = now + RENEWAL_MILLIS - random.nextInt(2 * STEP_MILLIS);
    if (node.store.down) {
      return;
    }
    endpoint.renewedAt = now;
    if (!node.isListed(endpoint.id)) {
      node.list(endpoint.id);
    }
  }

  private boolean isExpired(Endpoint endpoint, long now) {
    return entriesExpire && now - endpoint.renewedAt >= EXPIRY_MILLIS;
  }

  private void checkUsable() {
    long now = node.nowMillis();
    long quiet = now - Math.max(outageUntil, disconnectedUntil);
    for (Endpoint endpoint : endpoints) {
      boolean used = node.usable().contains(endpoint.id);
      boolean leftLongAgo =
          endpoint.left
              && endpoint.leftAt != Long.MAX_VALUE
              && now - endpoint.leftAt > LEAVE_DETECTION_MILLIS;
      if (used
          && leftLongAgo
          && quiet > (onlyDisconnected() ? RECONNECT_WITHOUT_OUTAGE_MILLIS : RECONNECT_MILLIS)) {
        problems.add(endpoint.id + " left but is in use at " + now);
      }
      boolean joinedLongAgo = !endpoint.left && now - endpoint.createdAt > RECOVERY_MILLIS;
      if (!used && joinedLongAgo && quiet > RECOVERY_MILLIS) {
        problems.add(endpoint.id + " is live but not in use at " + now);
      }
      if (!used
          && !endpoint.left
          && endpoint.createdAt < outageFrom - RECOVERY_MILLIS
          && onlyOutage(now)) {
        problems.add(endpoint.id + " expired in an outage and is not in use at " + now);
      }
    }
  }

  /**
   * Returns whether the latest fault was only a disconnect of the node, and some entry outlived it.
   * If all endpoints that the node knew have left, or an outage overlapped, the node can't tell the
   * two faults apart, and only the longer bound holds.
   */
  private boolean onlyDisconnected() {
    boolean someEntrySurvived =
        endpoints.stream()
            .anyMatch(
                endpoint ->
                    !endpoint.left && endpoint.createdAt < disconnectedFrom - RECOVERY_MILLIS);
    return disconnectedFrom > outageUntil
        && quietBeforeDisconnect > RECOVERY_MILLIS
        && someEntrySurvived;
  }

  /** Returns whether the latest fault was only an outage, in which all entries or none expired. */
  private boolean onlyOutage(long now) {
    long duration = Math.min(now, outageUntil) - outageFrom;
    boolean allOrNone =
        !entriesExpire
            || duration < SOME_EXPIRED_FROM_MILLIS
            || outageUntil - outageFrom > ALL_EXPIRED_FROM_MILLIS;
    return outageFrom > disconnectedUntil + ALL_EXPIRED_FROM_MILLIS
        && quietBeforeOutage > ALL_EXPIRED_FROM_MILLIS
        && allOrNone;
  }
}
