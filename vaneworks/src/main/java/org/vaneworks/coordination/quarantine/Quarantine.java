package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.vaneworks.state.RequestContent;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Requests that this node holds back: each of several endpoints ended just after it had begun the
 * same request.
 *
 * <p>One end proves little, since everything that an endpoint has just begun when it ends is
 * suspected alike. A request that was there each time is held back; whatever is answered in between
 * is cleared. What was held back may run again once that is over, and is held back anew at the next
 * end. Confined to the node's event loop.
 */
public final class Quarantine {
  /**
   * Ends of different runs after which a request is held back. With two, requests that moved on
   * together from one lost endpoint to the next are held back with the one that did it; each end
   * more costs what one more endpoint runs: 15 to 90 requests were lost with one in the logs of
   * eight nodes before 33 engines.
   */
  static final int ENDS_THAT_HOLD = 3;

  /** The longest that the platform's store keeps what is written under a lease. */
  public static final Duration HELD_FOR = Duration.ofMinutes(10);

  /** A content under which nothing has ended for so long is forgotten. */
  private static final Duration REMEMBERED_FOR = Duration.ofMinutes(10);

  /** Bounds what is remembered to about a megabyte, by arithmetic. */
  public static final int MOST_SUSPECTS = 5000;

  /** What is known of one content. */
  private static final class Suspect {
    private final Set<String> endedRuns = new HashSet<>();
    private int endsBefore;
    private long lastEndAt;
    private boolean held;
    private long heldUntil;

    int ends() {
      return endsBefore + endedRuns.size();
    }
  }

  private final Executor clock;
  private final Counters counters;
  private final Map<RequestContent, Suspect> suspects = new LinkedHashMap<>();
  private final List<Consumer<RequestContent>> holdListeners = new ArrayList<>();

  private Quarantine(Executor clock, Counters counters) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
  }

  /** Returns a quarantine that holds nothing. */
  public static Quarantine create(Executor clock, Counters counters) {
    return new Quarantine(clock, counters);
  }

  /** Calls back when a content is held back from now on. */
  public void onQuarantined(Consumer<RequestContent> listener) {
    holdListeners.add(listener);
  }

  /** Returns whether no request is suspected, so that nobody need work out a content. */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Returns how many contents are suspected or held back. */
  public int size() {
    return suspects.size();
  }

  /** Returns whether requests of that content are held back. */
  public boolean isQuarantined(RequestContent content) {
    Suspect suspect = suspects.get(content);
    if (suspect == null || !suspect.held) {
      return false;
    }
    if (now() >= suspect.heldUntil) {
      release(content, "its time is over");
    }
    return suspect.held;
  }

  /** Returns whether a content is held back at the next end under it. */
  public boolean isOneCrashFromQuarantine(RequestContent content) {
    Suspect suspect = suspects.get(content);
    return suspect != null && !suspect.held && suspect.ends() == ENDS_THAT_HOLD - 1;
  }

  /** Returns how long a content is still held back; zero if it isn't. */
  public Duration remaining(RequestContent content) {
    return isQuarantined(content)
        ? Duration.ofNanos(suspects.get(content).heldUntil - now())
        : Duration.ZERO;
  }

  /**
   * Notes that a run of an endpoint ended just after it had begun a request.
   *
   * @return whether the content is held back because of this end
   */
  public boolean recordCrash(EndpointCrash end) {
    forgetOld();
    Suspect suspect = suspects.computeIfAbsent(end.content(), unknown -> new Suspect());
    if (!suspect.endedRuns.add(end.endpointRun())) {
      return false;
    }
    suspect.lastEndAt = now();
    counters.count(Metric.QUARANTINE, "end");
    if (suspect.held || suspect.ends() < ENDS_THAT_HOLD) {
      return false;
    }
    hold(end.content(), suspect.ends() + " endpoints ended when they had begun it");
    return true;
  }

  /** Holds a content back from now on. */
  void hold(RequestContent content, String cause) {
    Suspect suspect = suspects.computeIfAbsent(content, unknown -> new Suspect());
    suspect.lastEndAt = now();
    if (suspect.held) {
      return;
    }
    suspect.held = true;
    suspect.heldUntil = now() + HELD_FOR.toNanos();
    counters.count(Metric.QUARANTINE, "held");
    EventLog.warn(Event.QUARANTINE_BEGAN, "content", content, "cause", cause);
    ImmutableList.copyOf(holdListeners).forEach(listener -> listener.accept(content));
  }

  /** Lets a content run again; one more end holds it back anew. */
  void release(RequestContent content, String cause) {
    Suspect suspect = suspects.get(content);
    if (suspect == null || !suspect.held) {
      return;
    }
    suspect.held = false;
    suspect.endedRuns.clear();
    suspect.endsBefore = ENDS_THAT_HOLD - 1;
    suspect.lastEndAt = now();
    counters.count(Metric.QUARANTINE, "released");
    EventLog.info(Event.QUARANTINE_ENDED, "content", content, "cause", cause);
  }

  /** Clears a content: an endpoint answered it whole. */
  public void recordAnswer(RequestContent content) {
    Suspect suspect = suspects.get(content);
    if (suspect != null && !suspect.held) {
      suspects.remove(content);
      counters.count(Metric.QUARANTINE, "cleared");
    }
  }

  private void forgetOld() {
    long before = now() - REMEMBERED_FOR.toNanos();
    suspects.values().removeIf(suspect -> !suspect.held && suspect.lastEndAt < before);
    Iterator<Suspect> oldestFirst = suspects.values().iterator();
    while (suspects.size() >= MOST_SUSPECTS && oldestFirst.hasNext()) {
      if (!oldestFirst.next().held) {
        oldestFirst.remove();
      }
    }
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
