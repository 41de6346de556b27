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
 * The requests that this node quarantines because several endpoints each crashed just after they
 * had begun the same request.
 *
 * <p>A single crash proves little, since every request that the endpoint had just begun is equally
 * suspected. A request that was present each time is quarantined; a request that is answered in
 * between is cleared. When the quarantine of a request expires, the request may run again and is
 * quarantined again at the next crash. Confined to the node's event loop.
 */
public final class Quarantine {
  /**
   * Number of crashes, of different incarnations, after which a request is quarantined. With two,
   * requests that moved together from one lost endpoint to the next would be quarantined with the
   * one that caused the crashes. Each additional crash costs the requests of one more endpoint: 15
   * to 90 requests were lost with one endpoint, according to logs of eight nodes in front of 33
   * engines.
   */
  static final int CRASH_THRESHOLD = 3;

  /** Duration of a quarantine: the maximum lifetime of a lease in the platform's store. */
  public static final Duration QUARANTINE_DURATION = Duration.ofMinutes(10);

  /** Time without a crash after which a suspect is forgotten. */
  private static final Duration SUSPECT_RETENTION = Duration.ofMinutes(10);

  /** Maximum number of suspects; limits their memory to about 1 MB. */
  public static final int MAX_SUSPECTS = 5000;

  /** The crashes and the quarantine of one request content. */
  private static final class Suspect {
    private final Set<String> crashedIncarnations = new HashSet<>();
    private int earlierCrashes;
    private long lastCrashAt;
    private boolean quarantined;
    private long quarantinedUntil;

    int crashes() {
      return earlierCrashes + crashedIncarnations.size();
    }
  }

  private final Executor clock;
  private final Counters counters;
  private final Map<RequestContent, Suspect> suspects = new LinkedHashMap<>();
  private final List<Consumer<RequestContent>> quarantineListeners = new ArrayList<>();

  private Quarantine(Executor clock, Counters counters) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
  }

  /** Returns an empty quarantine. */
  public static Quarantine create(Executor clock, Counters counters) {
    return new Quarantine(clock, counters);
  }

  /** Adds a listener that is called when a content is quarantined. */
  public void onQuarantined(Consumer<RequestContent> listener) {
    quarantineListeners.add(listener);
  }

  /**
   * Returns whether no request is suspected, in which case callers need not compute the content of
   * a request.
   */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Returns the number of contents that are suspected or quarantined. */
  public int size() {
    return suspects.size();
  }

  /** Returns whether requests with this content are quarantined. */
  public boolean isQuarantined(RequestContent content) {
    Suspect suspect = suspects.get(content);
    if (suspect == null || !suspect.quarantined) {
      return false;
    }
    if (now() >= suspect.quarantinedUntil) {
      release(content, "the quarantine expired");
    }
    return suspect.quarantined;
  }

  /** Returns whether the content would be quarantined at its next crash. */
  public boolean isOneCrashFromQuarantine(RequestContent content) {
    Suspect suspect = suspects.get(content);
    return suspect != null && !suspect.quarantined && suspect.crashes() == CRASH_THRESHOLD - 1;
  }

  /** Returns the remaining time of a content's quarantine; zero if it is not quarantined. */
  public Duration remaining(RequestContent content) {
    return isQuarantined(content)
        ? Duration.ofNanos(suspects.get(content).quarantinedUntil - now())
        : Duration.ZERO;
  }

  /**
   * Records that an incarnation of an endpoint crashed just after it had begun a request.
   *
   * @return whether the content is quarantined because of this crash
   */
  public boolean recordCrash(EndpointCrash crash) {
    removeExpiredSuspects();
    Suspect suspect = suspects.computeIfAbsent(crash.content(), key -> new Suspect());
    if (!suspect.crashedIncarnations.add(crash.incarnationId())) {
      return false;
    }
    suspect.lastCrashAt = now();
    counters.count(Metric.QUARANTINE, "end");
    if (suspect.quarantined || suspect.crashes() < CRASH_THRESHOLD) {
      return false;
    }
    quarantine(
        crash.content(), suspect.crashes() + " endpoints crashed just after they had begun it");
    return true;
  }

  /** Quarantines a content from now on. */
  void quarantine(RequestContent content, String cause) {
    Suspect suspect = suspects.computeIfAbsent(content, key -> new Suspect());
    suspect.lastCrashAt = now();
    if (suspect.quarantined) {
      return;
    }
    suspect.quarantined = true;
    suspect.quarantinedUntil = now() + QUARANTINE_DURATION.toNanos();
    counters.count(Metric.QUARANTINE, "held");
    EventLog.warn(Event.QUARANTINE_BEGAN, "content", content, "cause", cause);
    ImmutableList.copyOf(quarantineListeners).forEach(listener -> listener.accept(content));
  }

  /** Ends the quarantine of a content; one more crash quarantines it again. */
  void release(RequestContent content, String cause) {
    Suspect suspect = suspects.get(content);
    if (suspect == null || !suspect.quarantined) {
      return;
    }
    suspect.quarantined = false;
    suspect.crashedIncarnations.clear();
    suspect.earlierCrashes = CRASH_THRESHOLD - 1;
    suspect.lastCrashAt = now();
    counters.count(Metric.QUARANTINE, "released");
    EventLog.info(Event.QUARANTINE_ENDED, "content", content, "cause", cause);
  }

  /** Clears a content that an endpoint answered completely. */
  public void recordAnswer(RequestContent content) {
    Suspect suspect = suspects.get(content);
    if (suspect != null && !suspect.quarantined) {
      suspects.remove(content);
      counters.count(Metric.QUARANTINE, "cleared");
    }
  }

  private void removeExpiredSuspects() {
    long oldest = now() - SUSPECT_RETENTION.toNanos();
    suspects.values().removeIf(suspect -> !suspect.quarantined && suspect.lastCrashAt < oldest);
    Iterator<Suspect> oldestFirst = suspects.values().iterator();
    while (suspects.size() >= MAX_SUSPECTS && oldestFirst.hasNext()) {
      if (!oldestFirst.next().quarantined) {
        oldestFirst.remove();
      }
    }
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
