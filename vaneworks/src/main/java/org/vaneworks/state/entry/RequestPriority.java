package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.Optional;

/**
 * The priority of a request: that of its workspace decides first, then that of its route.
 *
 * <p>A workspace without a priority counts as its route. Smaller numbers are more urgent.
 *
 * @param workspace priority of the workspace, 0 or more
 * @param route priority of the route, 0 or more
 */
public record RequestPriority(int workspace, int route) implements Comparable<RequestPriority> {
  /** The highest number that is told from others. */
  private static final int LAST = 9;

  private static final int LEVELS = LAST + 1;

  /** Priorities of routes that engines tell apart within a workspace's priority. */
  private static final int ENGINE_LEVELS_PER_WORKSPACE = 3;

  private static final Comparator<RequestPriority> ORDER =
      Comparator.comparingInt(RequestPriority::level);

  /** Checks that neither number is negative. */
  public RequestPriority {
    checkArgument(workspace >= 0, "priority of a workspace is negative: %s", workspace);
    checkArgument(route >= 0, "priority of a route is negative: %s", route);
  }

  /** Returns the priority of a caller's requests on a route. */
  public static RequestPriority of(EntryRoute route, Optional<Caller> caller) {
    int ofRoute = Math.max(0, route.priority());
    int ofWorkspace = caller.map(known -> known.priority().orElse(ofRoute)).orElse(ofRoute);
    return new RequestPriority(Math.max(0, ofWorkspace), ofRoute);
  }

  /** Returns the priority as one number from 0, the most urgent, to 99. */
  public int level() {
    return Math.min(LAST, workspace) * LEVELS + Math.min(LAST, route);
  }

  /** Returns the priority for engines, which know ten levels: 0, the most urgent, to 9. */
  public int engineLevel() {
    int ofRoute = Math.min(ENGINE_LEVELS_PER_WORKSPACE - 1, route);
    return Math.min(LAST, Math.min(LAST, workspace) * ENGINE_LEVELS_PER_WORKSPACE + ofRoute);
  }

  @Override
  public int compareTo(RequestPriority other) {
    return ORDER.compare(this, other);
  }
}
