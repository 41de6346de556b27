package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.vaneworks.state.PromptPart;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.RequestTrait;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * The requests that this node quarantines because several endpoints each crashed just after they
 * had begun requests with the same content, or with the same part in their prompts.
 *
 * <p>A single crash proves little, since every request that the endpoint had just begun is equally
 * suspected. A content that was present each time is quarantined; a content that is answered in
 * between is cleared. Requests that differ are recognized by the parts of their prompts, see {@link
 * PartEvidence}; a crash that a quarantined part explains does not count against the contents that
 * were lost with it. When a quarantine expires, the requests may run again and are quarantined
 * again at the next crash. Confined to the node's event loop.
 */
public final class Quarantine {
  /**
   * Number of crashes, of different incarnations, after which a content is quarantined. With two,
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
    private long firstCrashAt = Long.MAX_VALUE;
    private long lastCrashAt;
    private boolean quarantined;
    private long quarantinedUntil;

    int knownCrashes() {
      return earlierCrashes + crashedIncarnations.size();
    }
  }

  private final Executor clock;
  private final Counters counters;
  private final Map<RequestContent, Suspect> suspects = new LinkedHashMap<>();
  private final PartEvidence evidence;

  /** The quarantined parts of prompts, and when their quarantine expires. */
  private final Map<PromptPart, Long> parts = new LinkedHashMap<>();

  /** Those of them that other nodes quarantined and this node did not. */
  private final Set<PromptPart> adoptedParts = new LinkedHashSet<>();

  private final Set<RequestContent> quarantinedContents = new LinkedHashSet<>();

  /**
   * The contents that reached the threshold, also if their quarantine ended because a part explains
   * their crashes. They still explain the crashes with other parts.
   */
  private final Set<RequestContent> crashingContents = new LinkedHashSet<>();

  /** The incarnations that crashed with each quarantined part and when, as last evaluated. */
  private ImmutableMap<PromptPart, ImmutableMap<String, Long>> crashedWithPart = ImmutableMap.of();

  private final List<Consumer<RequestTrait>> quarantineListeners = new ArrayList<>();
  private final List<Consumer<RequestTrait>> disproofListeners = new ArrayList<>();

  private Quarantine(Executor clock, Counters counters) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
    evidence = new PartEvidence(clock);
  }

  /** Returns an empty quarantine. */
  public static Quarantine create(Executor clock, Counters counters) {
    return new Quarantine(clock, counters);
  }

  /** Adds a listener that is called when a content or a part is quarantined. */
  public void onQuarantined(Consumer<RequestTrait> listener) {
    quarantineListeners.add(listener);
  }

  /** Adds a listener that is called when a quarantine ends because it proved to be wrong. */
  void onDisproved(Consumer<RequestTrait> listener) {
    disproofListeners.add(listener);
  }

  /**
   * Returns whether no request is suspected, in which case callers need not compute the content of
   * a request.
   */
  public boolean isEmpty() {
    return suspects.isEmpty() && parts.isEmpty();
  }

  /** Returns the number of contents that are suspected or quarantined. */
  public int size() {
    return suspects.size();
  }

  /** Returns whether requests with this content, or with this part, are quarantined. */
  public boolean isQuarantined(RequestTrait trait) {
    Optional<Long> until = quarantinedUntil(trait);
    if (until.isPresent() && now() >= until.get()) {
      release(trait, "the quarantine expired");
      return false;
    }
    return until.isPresent();
  }

  private Optional<Long> quarantinedUntil(RequestTrait trait) {
    if (trait instanceof PromptPart part) {
      return Optional.ofNullable(parts.get(part));
    }
    return Optional.ofNullable(suspects.get(trait))
        .filter(suspect -> suspect.quarantined)
        .map(suspect -> suspect.quarantinedUntil);
  }

  /** Returns whether the content or part would be quarantined at its next crash. */
  public boolean isOneCrashFromQuarantine(RequestTrait trait) {
    if (trait instanceof PromptPart part) {
      return !parts.containsKey(part) && evidence.isOneCrashFromCause(part);
    }
    Suspect suspect = suspects.get(trait);
    return suspect != null && !suspect.quarantined && crashes(suspect) >= CRASH_THRESHOLD - 1;
  }

  /**
   * Returns the crashes that count against a content. A quarantined part with more crashes in the
   * same time explains those that they have in common; one with fewer was perhaps only lost with
   * the content.
   */
  private int crashes(Suspect suspect) {
    ImmutableList<ImmutableMap<String, Long>> explained =
        crashedWithPart.values().stream()
            .filter(times -> crashesSince(times, suspect.firstCrashAt) > suspect.knownCrashes())
            .collect(ImmutableList.toImmutableList());
    long unexplained =
        suspect.crashedIncarnations.stream()
            .filter(crashed -> explained.stream().noneMatch(times -> times.containsKey(crashed)))
            .count();
    return suspect.earlierCrashes + (int) unexplained;
  }

  private static long crashesSince(ImmutableMap<String, Long> times, long since) {
    return times.values().stream().filter(at -> at >= since).count();
  }

  /** Returns the remaining time of a quarantine; zero if there is none. */
  public Duration remaining(RequestTrait trait) {
    return isQuarantined(trait)
        ? Duration.ofNanos(quarantinedUntil(trait).orElseThrow() - now())
        : Duration.ZERO;
  }

  /**
   * Records that incarnations of endpoints crashed just after they had begun requests. All that is
   * known together is evaluated together, as one crash may explain another.
   *
   * @return the contents and parts that are quarantined because of these crashes
   */
  public ImmutableList<RequestTrait> recordCrashes(Collection<EndpointCrash> crashes) {
    Set<RequestContent> changed = addCrashes(crashes, false);
    if (changed.isEmpty()) {
      return ImmutableList.of();
    }
    ImmutableList.Builder<RequestTrait> quarantined = ImmutableList.builder();
    updateCrashesWithParts();
    for (RequestContent content : changed) {
      Suspect suspect = suspects.get(content);
      int count = crashes(suspect);
      if (!suspect.quarantined && count >= CRASH_THRESHOLD) {
        quarantine(content, count + " endpoints crashed just after they had begun it");
        quarantined.add(content);
      }
    }
    quarantined.addAll(evaluateParts());
    return quarantined.build();
  }

  /**
   * Records crashes that other nodes judged before this node started. They count together with
   * later ones, but quarantine nothing by themselves: the other nodes knew which requests ran in
   * the meantime, and this node adopts what they quarantined.
   */
  void recordJudgedCrashes(Collection<EndpointCrash> crashes) {
    addCrashes(crashes, true);
    evaluateParts();
  }

  /** Adds crashes to the evidence and returns the contents of those that are new. */
  private Set<RequestContent> addCrashes(Collection<EndpointCrash> crashes, boolean judged) {
    removeExpiredSuspects();
    Set<RequestContent> changed = new LinkedHashSet<>();
    for (EndpointCrash crash : crashes) {
      Suspect suspect = suspects.computeIfAbsent(crash.content(), key -> new Suspect());
      if (suspect.crashedIncarnations.add(crash.incarnationId())) {
        evidence.recordCrash(crash, judged);
        suspect.firstCrashAt =
            Math.min(suspect.firstCrashAt, evidence.crashTime(crash.incarnationId()));
        suspect.lastCrashAt = now();
        counters.count(Metric.QUARANTINE, "end");
        changed.add(crash.content());
      }
    }
    return changed;
  }

  /**
   * Quarantines the parts that cause crashes according to what is known now, and ends quarantines
   * against which that speaks. Returns the parts that are quarantined because of this.
   */
  private ImmutableList<PromptPart> evaluateParts() {
    ImmutableSet<PromptPart> causes = evidence.causes(crashingContents, adoptedParts);
    ImmutableList.Builder<PromptPart> quarantined = ImmutableList.builder();
    for (PromptPart part : causes) {
      if (!parts.containsKey(part)) {
        quarantine(part, evidence.crashesWith(part) + " endpoints crashed under requests with it");
        quarantined.add(part);
      }
    }
    for (PromptPart part : ImmutableList.copyOf(parts.keySet())) {
      if (!causes.contains(part) && evidence.contradicts(part, causes)) {
        parts.remove(part);
        adoptedParts.remove(part);
        disproved(part, "the crashes have another cause, or requests with it ran");
      }
    }
    updateCrashesWithParts();
    ImmutableList.copyOf(quarantinedContents).forEach(this::releaseIfExplained);
    return quarantined.build();
  }

  private void updateCrashesWithParts() {
    crashedWithPart = Maps.toMap(parts.keySet(), evidence::crashTimes);
  }

  /** Ends the quarantine of a content if a quarantined part explains its crashes. */
  private void releaseIfExplained(RequestContent content) {
    Suspect suspect = suspects.get(content);
    int count = crashes(suspect);
    int known = suspect.knownCrashes();
    boolean explained = known > count && (count == 0 || known >= CRASH_THRESHOLD);
    if (explained && count < CRASH_THRESHOLD) {
      suspect.quarantined = false;
      quarantinedContents.remove(content);
      disproved(content, "a part of other prompts explains the crashes");
    }
  }

  private void disproved(RequestTrait trait, String cause) {
    counters.count(Metric.QUARANTINE, "disproved");
    EventLog.info(Event.QUARANTINE_ENDED, fieldName(trait), trait, "cause", cause);
    disproofListeners.forEach(listener -> listener.accept(trait));
  }

  /** Quarantines a content or a part from now on. */
  void quarantine(RequestTrait trait, String cause) {
    if (trait instanceof PromptPart part) {
      if (parts.putIfAbsent(part, now() + QUARANTINE_DURATION.toNanos()) != null) {
        return;
      }
    } else {
      Suspect suspect = suspects.computeIfAbsent((RequestContent) trait, key -> new Suspect());
      suspect.lastCrashAt = now();
      if (suspect.quarantined) {
        return;
      }
      suspect.quarantined = true;
      quarantinedContents.add((RequestContent) trait);
      crashingContents.add((RequestContent) trait);
      suspect.quarantinedUntil = now() + QUARANTINE_DURATION.toNanos();
    }
    counters.count(Metric.QUARANTINE, trait instanceof PromptPart ? "part-held" : "held");
    EventLog.warn(Event.QUARANTINE_BEGAN, fieldName(trait), trait, "cause", cause);
    ImmutableList.copyOf(quarantineListeners).forEach(listener -> listener.accept(trait));
  }

  private static String fieldName(RequestTrait trait) {
    return trait instanceof PromptPart ? "promptPart" : "content";
  }

  /** Adopts a quarantine of another node, unless what this node knows contradicts it. */
  void adopt(RequestTrait trait) {
    boolean contradicted =
        trait instanceof PromptPart part
            && evidence.contradicts(part, evidence.causes(crashingContents, adoptedParts));
    if (!contradicted && !isQuarantined(trait)) {
      if (trait instanceof PromptPart part) {
        adoptedParts.add(part);
      }
      quarantine(trait, "quarantined in the store");
    }
  }

  /**
   * Ends a quarantine; one more crash quarantines the requests again. The quarantine of a part that
   * only another node decided on, which may have found that it was wrong, leaves no trace.
   */
  void release(RequestTrait trait, String cause) {
    if (trait instanceof PromptPart part) {
      if (parts.remove(part) == null) {
        return;
      }
      if (!adoptedParts.remove(part)) {
        evidence.release(part);
      }
    } else {
      Suspect suspect = suspects.get(trait);
      if (suspect == null || !suspect.quarantined) {
        return;
      }
      suspect.quarantined = false;
      quarantinedContents.remove(trait);
      crashingContents.remove(trait);
      suspect.crashedIncarnations.clear();
      suspect.earlierCrashes = CRASH_THRESHOLD - 1;
      suspect.lastCrashAt = now();
    }
    counters.count(Metric.QUARANTINE, "released");
    EventLog.info(Event.QUARANTINE_ENDED, fieldName(trait), trait, "cause", cause);
  }

  /** Clears a content that an endpoint answered, or continued after it had begun it. */
  public void recordAnswer(RequestContent content) {
    Suspect suspect = suspects.get(content);
    if (suspect != null && !suspect.quarantined) {
      suspects.remove(content);
      crashingContents.remove(content);
      evidence.removeContent(content);
      counters.count(Metric.QUARANTINE, "cleared");
    }
  }

  /** Records that an endpoint continued a request with these parts after it had begun it. */
  public void recordSurvival(ImmutableList<PromptPart> survivors) {
    survivors.forEach(evidence::recordSurvival);
  }

  /**
   * Records that endpoints continued requests of other nodes some time ago.
   *
   * @return the parts that are quarantined because of this, as it leaves no other cause of crashes
   */
  ImmutableList<PromptPart> recordSurvivalsElsewhere(Collection<Survival> survivals) {
    if (survivals.isEmpty()) {
      return ImmutableList.of();
    }
    survivals.forEach(each -> evidence.recordSurvivalElsewhere(each.part(), each.age()));
    return evaluateParts();
  }

  /** Returns how long ago an endpoint continued a request of this node; empty if not known. */
  Optional<Duration> sinceOwnSurvival(PromptPart part) {
    return evidence.sinceOwnSurvival(part);
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
    crashingContents.retainAll(suspects.keySet());
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
