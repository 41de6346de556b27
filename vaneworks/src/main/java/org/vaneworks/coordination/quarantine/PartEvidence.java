package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vaneworks.state.PromptPart;
import org.vaneworks.state.RequestContent;

/**
 * Determines which parts of prompts crash endpoints.
 *
 * <p>Many requests begin at an endpoint in the second before it crashes, and most of their parts
 * are shared by requests that endpoints answer. Two observations distinguish the part that caused
 * the crashes. A request that endpoints begin and continue shows that its parts are sound, so only
 * crashes after that count against them. And one cause is sufficient for a crash: the part with the
 * most crashes is taken as their cause, and these crashes no longer count against other parts.
 * Confined to the node's event loop.
 */
final class PartEvidence {
  /** Number of crashes after which a part counts as their cause. */
  static final int CRASH_THRESHOLD = 3;

  /** The same for a part with which requests have run, in case it is no longer sound. */
  static final int SOUND_CRASH_THRESHOLD = 12;

  /**
   * Maximum number of crashes that count against a part because of one request content. More of
   * them show only that this request crashes endpoints.
   */
  private static final int MAX_CRASHES_PER_CONTENT = 2;

  /**
   * Maximum number of contents that explain the crashes with a part. At most one of them has the
   * part itself: if two different contents with it crash endpoints, the part does.
   */
  private static final int MAX_EXPLAINING_CONTENTS = 2;

  /** How long crashes, and requests that ran, are remembered. */
  static final Duration RETENTION = Duration.ofMinutes(10);

  /** Maximum number of parts of the requests of all crashes; limits their memory to a few MB. */
  static final int MAX_LOST_PARTS = 20_000;

  /** Maximum number of parts whose soundness is remembered, about 200 bytes each. */
  static final int MAX_PARTS = 4096;

  /** The crash of one incarnation, and the parts of the requests that it had just begun. */
  private static final class Crash {
    private final long at;

    /** Whether other nodes judged this before this node started. */
    private final boolean judged;

    private final Map<RequestContent, ImmutableList<PromptPart>> starts = new LinkedHashMap<>();

    /** Whether this was explained by a part that may run again. */
    private boolean settled;

    Crash(long at, boolean judged) {
      this.at = at;
      this.judged = judged;
    }

    boolean isExplainedBy(Set<PromptPart> parts) {
      return settled
          || starts.values().stream().anyMatch(each -> each.stream().anyMatch(parts::contains));
    }

    boolean has(PromptPart part) {
      return starts.values().stream().anyMatch(each -> each.contains(part));
    }
  }

  /**
   * What limits the crashes that count against a part.
   *
   * @param since only later crashes count
   * @param threshold how many of them make the part their cause
   * @param own whether this node itself saw a request with the part run
   */
  private record Limit(long since, int threshold, boolean own) {}

  /** The limit of a part about which nothing is known. */
  private static final Limit UNKNOWN = new Limit(Long.MIN_VALUE, CRASH_THRESHOLD, false);

  /** The crashes that count against a part. */
  private static final class Count {
    private final Map<RequestContent, Integer> byContent = new HashMap<>();
    private int counted;
    private int total;
    private boolean unjudged;

    /** Adds a crash of an endpoint that had begun some contents with the part. */
    void add(Crash crash, List<RequestContent> contents) {
      total++;
      unjudged |= !crash.judged;
      Optional<RequestContent> charged =
          contents.stream()
              .filter(content -> byContent.getOrDefault(content, 0) < MAX_CRASHES_PER_CONTENT)
              .findFirst();
      if (charged.isPresent()) {
        byContent.merge(charged.get(), 1, Integer::sum);
        counted++;
      }
    }
  }

  private final Executor clock;
  private final Map<String, Crash> crashes = new LinkedHashMap<>();

  /** The number of parts of all requests in {@link #crashes}. */
  private int lostParts;

  /** Limits of parts that are not {@link #UNKNOWN}; the least recently updated comes first. */
  private final Map<PromptPart, Limit> limits = new LinkedHashMap<>();

  /** The crashes that count against each part apart from those that {@link #causes} explains. */
  private Map<PromptPart, Count> unexplained = new HashMap<>();

  PartEvidence(Executor clock) {
    this.clock = checkNotNull(clock);
  }

  /**
   * Records a crash; reports of the same crash by several nodes count once.
   *
   * @param judged whether other nodes judged it before this node started. Such crashes are evidence
   *     like others, but a part is a cause only once one more endpoint crashes with it.
   */
  void recordCrash(EndpointCrash reported, boolean judged) {
    removeExpired();
    Crash crash = crashes.computeIfAbsent(reported.incarnationId(), id -> new Crash(now(), judged));
    if (crash.starts.putIfAbsent(reported.content(), reported.parts()) == null) {
      lostParts += reported.parts().size();
    }
  }

  /** Records that a request of this node ran on after an endpoint had begun it. */
  void recordSurvival(PromptPart part) {
    setLimit(part, new Limit(now(), SOUND_CRASH_THRESHOLD, true));
  }

  /** Records that a request of another node did so some time ago. */
  void recordSurvivalElsewhere(PromptPart part, Duration age) {
    long at = now() - age.toNanos();
    if (at > limits.getOrDefault(part, UNKNOWN).since()) {
      setLimit(part, new Limit(at, SOUND_CRASH_THRESHOLD, false));
    }
  }

  /** Removes a content whose request ran, as its earlier losses were not due to it. */
  void removeContent(RequestContent content) {
    for (Crash crash : crashes.values()) {
      ImmutableList<PromptPart> parts = crash.starts.remove(content);
      lostParts -= parts == null ? 0 : parts.size();
    }
  }

  /** Settles the crashes of a part that may run again; one more crash makes it a cause. */
  void release(PromptPart part) {
    crashes.values().stream()
        .filter(crash -> crash.has(part))
        .forEach(crash -> crash.settled = true);
    setLimit(part, new Limit(Long.MIN_VALUE, 1, false));
  }

  private void setLimit(PromptPart part, Limit limit) {
    limits.remove(part);
    limits.put(part, limit);
    if (limits.size() > MAX_PARTS) {
      limits.remove(limits.keySet().iterator().next());
    }
  }

  /** Returns how long ago a request of this node with the part ran; empty if not remembered. */
  Optional<Duration> sinceOwnSurvival(PromptPart part) {
    Limit limit = limitOf(part);
    return limit.own() ? Optional.of(Duration.ofNanos(now() - limit.since())) : Optional.empty();
  }

  private Limit limitOf(PromptPart part) {
    Limit limit = limits.getOrDefault(part, UNKNOWN);
    boolean expired =
        limit.threshold() == SOUND_CRASH_THRESHOLD && now() - limit.since() > RETENTION.toNanos();
    return expired ? UNKNOWN : limit;
  }

  /**
   * Returns the parts that are the causes of crashes.
   *
   * @param crashing the contents that crash endpoints; the crashes at which one of a few of them
   *     was present do not count against parts
   * @param adopted the parts that other nodes quarantined, which explain the crashes with them
   *     unless requests with them ran
   */
  ImmutableSet<PromptPart> causes(Set<RequestContent> crashing, Set<PromptPart> adopted) {
    removeExpired();
    List<Crash> remaining = new ArrayList<>(crashes.values());
    remaining.removeIf(crash -> crash.settled);
    adopted.stream()
        .filter(part -> !isSound(part))
        .forEach(part -> remaining.removeIf(crash -> crash.has(part)));
    Set<PromptPart> causes = new LinkedHashSet<>();
    // A part that was sound is considered only for crashes that no other part explains.
    for (boolean sound : new boolean[] {false, true}) {
      Optional<PromptPart> next = mostSuspicious(remaining, sound, crashing);
      while (next.isPresent()) {
        PromptPart cause = next.get();
        causes.add(cause);
        remaining.removeIf(crash -> crash.has(cause));
        next = mostSuspicious(remaining, sound, crashing);
      }
    }
    removeRedundant(causes);
    unexplained = counts(remaining);
    return ImmutableSet.copyOf(causes);
  }

  private Optional<PromptPart> mostSuspicious(
      List<Crash> remaining, boolean sound, Set<RequestContent> crashing) {
    return counts(remaining).entrySet().stream()
        .filter(entry -> entry.getValue().unjudged)
        .filter(entry -> isSound(entry.getKey()) == sound)
        .filter(entry -> entry.getValue().counted >= limitOf(entry.getKey()).threshold())
        .filter(entry -> !isExplainedByContents(entry.getKey(), crashing))
        .max(
            Comparator.<Map.Entry<PromptPart, Count>>comparingInt(entry -> entry.getValue().counted)
                .thenComparingInt(entry -> entry.getValue().total)
                .thenComparingInt(entry -> entry.getValue().byContent.size())
                .thenComparing(entry -> entry.getKey().id()))
        .map(Map.Entry::getKey);
  }

  /**
   * Returns whether a few of the crashing contents explain so many crashes with a part that the
   * others don't suffice. If one of these contents has the part itself, one other crash is enough:
   * one cause, the part, is then more likely than two.
   */
  private boolean isExplainedByContents(PromptPart part, Set<RequestContent> crashing) {
    List<Crash> unexplainedCrashes =
        new ArrayList<>(crashes.values().stream().filter(crash -> crash.has(part)).toList());
    Set<RequestContent> candidates = new LinkedHashSet<>(crashing);
    boolean shared = false;
    for (int i = 0; i < MAX_EXPLAINING_CONTENTS && !candidates.isEmpty(); i++) {
      RequestContent best = mostPresent(candidates, unexplainedCrashes, part);
      if (!unexplainedCrashes.removeIf(crash -> crash.starts.containsKey(best))) {
        break;
      }
      if (hasPart(best, part)) {
        shared = true;
        candidates.removeIf(content -> hasPart(content, part));
      }
    }
    int required = shared && !isSound(part) ? 1 : limitOf(part).threshold();
    return unexplainedCrashes.size() < required;
  }

  /** Returns the content that was present at most of the crashes, preferably without the part. */
  private RequestContent mostPresent(
      Set<RequestContent> contents, List<Crash> crashes, PromptPart part) {
    return contents.stream()
        .max(
            Comparator.comparingLong((RequestContent content) -> countWith(crashes, content))
                .thenComparing(content -> !hasPart(content, part)))
        .orElseThrow();
  }

  private static long countWith(List<Crash> crashes, RequestContent content) {
    return crashes.stream().filter(crash -> crash.starts.containsKey(content)).count();
  }

  private boolean hasPart(RequestContent content, PromptPart part) {
    return crashes.values().stream()
        .map(crash -> crash.starts.get(content))
        .anyMatch(parts -> parts != null && parts.contains(part));
  }

  private boolean isSound(PromptPart part) {
    return limitOf(part).threshold() == SOUND_CRASH_THRESHOLD;
  }

  private Map<PromptPart, Count> counts(List<Crash> remaining) {
    Map<PromptPart, Count> counts = new HashMap<>();
    for (Crash crash : remaining) {
      Map<PromptPart, List<RequestContent>> contents = new HashMap<>();
      crash.starts.forEach(
          (content, parts) -> {
            for (PromptPart part : parts) {
              contents.computeIfAbsent(part, key -> new ArrayList<>()).add(content);
            }
          });
      contents.forEach(
          (part, having) -> {
            if (crash.at > limitOf(part).since()) {
              counts.computeIfAbsent(part, key -> new Count()).add(crash, having);
            }
          });
    }
    return counts;
  }

  /**
   * Removes causes all of whose crashes have another cause, those with the fewest crashes first.
   */
  private void removeRedundant(Set<PromptPart> causes) {
    List<PromptPart> byCrashes = new ArrayList<>(causes);
    byCrashes.sort(Comparator.comparingLong(this::crashesWith));
    for (PromptPart part : byCrashes) {
      Set<PromptPart> others = new LinkedHashSet<>(causes);
      others.remove(part);
      if (isExplainedBy(part, others)) {
        causes.remove(part);
      }
    }
  }

  /** Returns how many crashes are known of endpoints that had begun a request with the part. */
  long crashesWith(PromptPart part) {
    return crashes.values().stream().filter(crash -> crash.has(part)).count();
  }

  /** Returns whether each crash with a part has another cause, with which more of them occurred. */
  private boolean isExplainedBy(PromptPart part, Set<PromptPart> others) {
    long known = crashesWith(part);
    ImmutableSet<PromptPart> withMore =
        others.stream()
            .filter(other -> crashesWith(other) > known)
            .collect(ImmutableSet.toImmutableSet());
    return crashes.values().stream()
        .filter(crash -> crash.has(part))
        .allMatch(crash -> crash.isExplainedBy(withMore));
  }

  /** Returns whether one more crash would make the part a cause, as of the last evaluation. */
  boolean isOneCrashFromCause(PromptPart part) {
    Count count = unexplained.get(part);
    int threshold = limitOf(part).threshold();
    return threshold - (count == null ? 0 : count.counted) <= 1;
  }

  /**
   * Returns whether what is known speaks against a part that is not among the causes: requests with
   * it ran, or all its crashes have other causes.
   */
  boolean contradicts(PromptPart part, ImmutableSet<PromptPart> causes) {
    return isSound(part) || (crashesWith(part) > 0 && isExplainedBy(part, causes));
  }

  /**
   * Returns the incarnations that crashed after they had begun a request with the part, and when.
   */
  ImmutableMap<String, Long> crashTimes(PromptPart part) {
    ImmutableMap.Builder<String, Long> times = ImmutableMap.builder();
    crashes.forEach(
        (incarnationId, crash) -> {
          if (crash.has(part)) {
            times.put(incarnationId, crash.at);
          }
        });
    return times.buildOrThrow();
  }

  /** Returns when a crash was first reported; now if it is not known. */
  long crashTime(String incarnationId) {
    Crash crash = crashes.get(incarnationId);
    return crash == null ? now() : crash.at;
  }

  private void removeExpired() {
    long oldest = now() - RETENTION.toNanos();
    Iterator<Crash> oldestFirst = crashes.values().iterator();
    while (oldestFirst.hasNext()) {
      Crash crash = oldestFirst.next();
      if (crash.at >= oldest && lostParts <= MAX_LOST_PARTS) {
        return;
      }
      crash.starts.values().forEach(parts -> lostParts -= parts.size());
      oldestFirst.remove();
    }
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
