package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.vaneworks.tests.Schedules;

/**
 * One random course of a minute: endpoints renew their entries, come and leave; the store is away
 * for all, or one node is cut off from it; both also overlap. Judges which endpoints that node
 * gives new work to.
 */
final class EndpointListSimulation {
  private static final int STEPS = 600;
  private static final int STEP_MILLIS = 100;

  /** Endpoints renew their entries this often; an entry lapses after three silent renewals. */
  private static final int RENEWAL_MILLIS = 1200;

  private static final int LAPSE_MILLIS = 3 * RENEWAL_MILLIS;

  /** An endpoint that has left gets no new work this long after it, or after the last fault. */
  private static final int LEAVING_BOUND_MILLIS = 2000;

  /** A node counts as connected this long after the last fault. */
  private static final int CONNECTED_MILLIS = 3000;

  /** The same if the node was cut off and the store was there for all others: a view is enough. */
  private static final int VIEW_MILLIS = 2000;

  /** All that live are back in use this long after the last fault. */
  private static final int BACK_MILLIS = 3500;

  /** Between these, some entries have lapsed and others not: no promise for those in between. */
  private static final int SOME_LAPSED_FROM_MILLIS = LAPSE_MILLIS - RENEWAL_MILLIS;

  private static final int ALL_LAPSED_FROM_MILLIS = LAPSE_MILLIS + 2 * RENEWAL_MILLIS;

  private static final int MOST_ENDPOINTS = 8;
  private static final double FAULT_CHANCE = 0.015;
  private static final double LEAVE_CHANCE = 0.01;
  private static final double JOIN_CHANCE = 0.01;

  private static final class Endpoint {
    final String id;
    final long bornAt;
    long renewsAt;
    long renewedAt;
    boolean left;
    long leftAt = Long.MAX_VALUE;

    Endpoint(String id, long bornAt) {
      this.id = id;
      this.bornAt = bornAt;
    }
  }

  private final Random random;
  private final FleetWatchFixture node;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();
  private boolean lapses;
  private long outageFrom = -1;
  private long outageUntil = -1;
  private long cutFrom = -1;
  private long cutUntil = -1;
  private long calmBeforeOutage;
  private long calmBeforeCut;
  private int cuts;
  private int outages;
  private int left;

  private EndpointListSimulation(long seed) {
    random = new Random(seed);
    node = new FleetWatchFixture(seed);
  }

  static Schedules.Result run(long seed) {
    EndpointListSimulation schedule = new EndpointListSimulation(seed);
    schedule.play();
    return new Schedules.Result(
        ImmutableList.copyOf(schedule.problems),
        ImmutableMap.of("cuts", schedule.cuts, "outages", schedule.outages, "left", schedule.left));
  }

  private void play() {
    for (int i = 0; i < 3; i++) {
      join();
    }
    node.follower.start();
    node.advance(CONNECTED_MILLIS);
    for (int step = 0; step < STEPS && problems.isEmpty(); step++) {
      beginFaults();
      endFaults();
      comeAndGo();
      renewAndLapse();
      node.advance(STEP_MILLIS);
      judge();
    }
  }

  private void beginFaults() {
    long now = node.nowMillis();
    long calm = now - Math.max(outageUntil, cutUntil);
    if (now >= outageUntil && random.nextDouble() < FAULT_CHANCE) {
      outages++;
      outageFrom = now;
      calmBeforeOutage = calm;
      outageUntil = now + 500 + random.nextInt(9000);
      lapses = random.nextBoolean();
      node.store.down = true;
    }
    if (now >= cutUntil && random.nextDouble() < FAULT_CHANCE) {
      cuts++;
      cutFrom = now;
      calmBeforeCut = calm;
      cutUntil = now + 500 + random.nextInt(12_000);
      node.link.cut(true);
    }
  }

  private void endFaults() {
    long now = node.nowMillis();
    node.store.down = now < outageUntil;
    node.link.cut(now < cutUntil);
  }

  private void comeAndGo() {
    List<Endpoint> living = endpoints.stream().filter(endpoint -> !endpoint.left).toList();
    if (living.size() > 2 && random.nextDouble() < LEAVE_CHANCE) {
      living.get(random.nextInt(living.size())).left = true;
      left++;
    }
    if (living.size() < MOST_ENDPOINTS && random.nextDouble() < JOIN_CHANCE) {
      join();
    }
  }

  private void join() {
    Endpoint endpoint = new Endpoint("e" + endpoints.size(), node.nowMillis());
    endpoint.renewsAt = endpoint.bornAt;
    endpoints.add(endpoint);
    renewAndLapse();
  }

  private void renewAndLapse() {
    long now = node.nowMillis();
    for (Endpoint endpoint : endpoints) {
      boolean listed = node.isListed(endpoint.id);
      if (endpoint.left) {
        if (listed && (!node.store.down || lapsed(endpoint, now))) {
          node.unlist(endpoint.id);
        }
        if (endpoint.leftAt == Long.MAX_VALUE && !node.isListed(endpoint.id)) {
          endpoint.leftAt = now;
        }
      } else if (now >= endpoint.renewsAt) {
        renew(endpoint, now);
      } else if (listed && node.store.down && lapsed(endpoint, now)) {
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

  private boolean lapsed(Endpoint endpoint, long now) {
    return lapses && now - endpoint.renewedAt >= LAPSE_MILLIS;
  }

  private void judge() {
    long now = node.nowMillis();
    long calm = now - Math.max(outageUntil, cutUntil);
    for (Endpoint endpoint : endpoints) {
      boolean used = node.usable().contains(endpoint.id);
      boolean wasToldLongAgo =
          endpoint.left
              && endpoint.leftAt != Long.MAX_VALUE
              && now - endpoint.leftAt > LEAVING_BOUND_MILLIS;
      if (used && wasToldLongAgo && calm > (onlyCut() ? VIEW_MILLIS : CONNECTED_MILLIS)) {
        problems.add(endpoint.id + " left and is in use at " + now);
      }
      boolean wasThere = !endpoint.left && now - endpoint.bornAt > BACK_MILLIS;
      if (!used && wasThere && calm > BACK_MILLIS) {
        problems.add(endpoint.id + " lives and is not in use at " + now);
      }
      if (!used
          && !endpoint.left
          && endpoint.bornAt < outageFrom - BACK_MILLIS
          && onlyOutage(now)) {
        problems.add(endpoint.id + " lapsed in an outage and is not in use at " + now);
      }
    }
  }

  /**
   * Returns whether the node's silence was the latest cut alone and an entry outlived it. If all
   * that it knew have left, or if an outage came into it, the node can't know before the longer
   * bound is over.
   */
  private boolean onlyCut() {
    boolean oneOutlivedIt =
        endpoints.stream()
            .anyMatch(endpoint -> !endpoint.left && endpoint.bornAt < cutFrom - BACK_MILLIS);
    return cutFrom > outageUntil && calmBeforeCut > BACK_MILLIS && oneOutlivedIt;
  }

  /** Returns whether the latest fault was an outage alone, in which all entries or none lapsed. */
  private boolean onlyOutage(long now) {
    long lasted = Math.min(now, outageUntil) - outageFrom;
    boolean allOrNone =
        !lapses
            || lasted < SOME_LAPSED_FROM_MILLIS
            || outageUntil - outageFrom > ALL_LAPSED_FROM_MILLIS;
    return outageFrom > cutUntil + ALL_LAPSED_FROM_MILLIS
        && calmBeforeOutage > ALL_LAPSED_FROM_MILLIS
        && allOrNone;
  }
}
