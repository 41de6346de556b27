package org.vaneworks.coordination.membership;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * This node's view of all members, and the updates that are still to be gossiped.
 *
 * <p>Thread-safe. No other lock is acquired while the lock of the table is held.
 */
public final class MemberTable {
  /** An update is sent this many times for each doubling of the number of members. */
  private static final int SENDS_PER_DOUBLING = 3;

  /** How long departed members are kept, so that outdated updates do not add them again. */
  private static final Duration DEPARTED_RETENTION = Duration.ofMinutes(30);

  private static final class Entry {
    private Member member;
    private int timesSent;
    private long changedAt;

    Entry(Member member, long changedAt) {
      this.member = member;
      this.changedAt = changedAt;
    }
  }

  private final Executor clock;

  @GuardedBy("this")
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  @GuardedBy("this")
  private Member self;

  private MemberTable(Executor clock, Member self) {
    this.clock = clock;
    this.self = self;
  }

  /** Returns a table that contains only this node. */
  public static MemberTable create(Executor clock, Member self) {
    return new MemberTable(clock, self);
  }

  /** Returns this node's own entry. */
  public synchronized Member self() {
    return self;
  }

  /** Updates this node's own entry under a higher sequence. */
  synchronized void updateSelf(MemberStatus status, Optional<String> successor) {
    self =
        new Member(
            self.identity(),
            self.address(),
            self.dataCentre(),
            self.sequence() + 1,
            status,
            successor);
  }

  /** Merges an update into the table; returns whether it changed the table. */
  boolean merge(Member update) {
    synchronized (this) {
      if (update.identity().equals(self.identity())) {
        refute(update);
        return false;
      }
      Entry known = entries.get(update.identity());
      if (known != null && !update.overrides(known.member)) {
        return false;
      }
      boolean wasPresent = known != null && known.member.isPresent();
      if (known == null) {
        entries.put(update.identity(), new Entry(update, now()));
      } else {
        known.member = update;
        known.timesSent = 0;
        known.changedAt = now();
      }
      replaceEarlierIncarnation(update);
      log(update, wasPresent);
    }
    return true;
  }

  /** Refutes a suspicion of this node by raising its sequence above that of the update. */
  @GuardedBy("this")
  private void refute(Member update) {
    boolean suspected =
        update.status() != MemberStatus.ALIVE && self.status() == MemberStatus.ALIVE;
    if (suspected && update.sequence() >= self.sequence()) {
      self =
          new Member(
              self.identity(),
              self.address(),
              self.dataCentre(),
              update.sequence() + 1,
              self.status(),
              self.successor());
    }
  }

  /** Marks earlier incarnations at the same address as dead; an address has one live node. */
  @GuardedBy("this")
  private void replaceEarlierIncarnation(Member update) {
    if (update.status() != MemberStatus.ALIVE) {
      return;
    }
    for (Entry entry : entries.values()) {
      boolean sameAddress = entry.member.address().equals(update.address());
      if (sameAddress && entry.member.isPresent() && !entry.member.equals(update)) {
        entry.member = entry.member.withStatus(MemberStatus.DEAD);
        entry.timesSent = 0;
        entry.changedAt = now();
      }
    }
  }

  private static void log(Member update, boolean wasPresent) {
    Event event =
        switch (update.status()) {
          case ALIVE -> Event.MEMBER_JOINED;
          case SUSPECT -> Event.MEMBER_SUSPECTED;
          case DEAD, LEFT -> Event.MEMBER_LEFT;
        };
    if (update.status() != MemberStatus.ALIVE || !wasPresent) {
      EventLog.info(event, "member", update.identity(), "status", update.status());
    }
  }

  /** Marks an alive member as suspected; returns the new entry if the status changed. */
  Optional<Member> suspect(String identity) {
    return demote(identity, MemberStatus.ALIVE, MemberStatus.SUSPECT);
  }

  /** Marks a member as dead if its entry has not changed since it was suspected. */
  void declareDead(Member suspected) {
    synchronized (this) {
      Entry entry = entries.get(suspected.identity());
      if (entry == null || !entry.member.equals(suspected)) {
        return;
      }
    }
    Optional<Member> unused = demote(suspected.identity(), MemberStatus.SUSPECT, MemberStatus.DEAD);
  }

  private Optional<Member> demote(String identity, MemberStatus from, MemberStatus to) {
    Member demoted;
    synchronized (this) {
      Entry entry = entries.get(identity);
      if (entry == null || entry.member.status() != from) {
        return Optional.empty();
      }
      demoted = entry.member.withStatus(to);
    }
    return merge(demoted) ? Optional.of(demoted) : Optional.empty();
  }

  /** Returns updates to send, least often sent first; each is sent a bounded number of times. */
  synchronized ImmutableList<Member> nextUpdates(int atMost) {
    int limit = SENDS_PER_DOUBLING * (32 - Integer.numberOfLeadingZeros(entries.size() + 1));
    List<Entry> pending = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.timesSent < limit) {
        pending.add(entry);
      }
    }
    pending.sort(Comparator.comparingInt(entry -> entry.timesSent));
    ImmutableList.Builder<Member> updates = ImmutableList.builder();
    for (Entry entry : pending.subList(0, Math.min(atMost, pending.size()))) {
      entry.timesSent++;
      updates.add(entry.member);
    }
    return updates.build();
  }

  /** Returns all entries except this node's own. */
  public synchronized ImmutableList<Member> others() {
    return entries.values().stream()
        .map(entry -> entry.member)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the other members to which requests may be sent. */
  public ImmutableList<Member> present() {
    return others().stream().filter(Member::isPresent).collect(ImmutableList.toImmutableList());
  }

  /** Returns the number of present members, including this node. */
  public int size() {
    return present().size() + 1;
  }

  /** Returns the entry of a member, which may be this node. */
  public synchronized Optional<Member> find(String identity) {
    if (identity.equals(self.identity())) {
      return Optional.of(self);
    }
    return Optional.ofNullable(entries.get(identity)).map(entry -> entry.member);
  }

  /** Returns whether this node or a present member has the address. */
  boolean hasMemberAt(HostPort address) {
    return self().address().equals(address)
        || present().stream().anyMatch(member -> member.address().equals(address));
  }

  /** Returns the identities of all present members, ranked by rendezvous hashing for the task. */
  public List<String> rank(String task) {
    Stream<String> identities =
        Stream.concat(Stream.of(self().identity()), present().stream().map(Member::identity));
    return RendezvousHashing.rank(task, identities);
  }

  /**
   * Returns whether this node ranks among the first members of its data centre for a task.
   *
   * @param among number of members that perform the task
   */
  public boolean isAssignedHere(String task, int among) {
    Member own = self();
    Stream<String> identities =
        Stream.concat(
            Stream.of(own.identity()),
            present().stream()
                .filter(member -> member.dataCentre().equals(own.dataCentre()))
                .map(Member::identity));
    return RendezvousHashing.rank(task, identities).stream()
        .limit(among)
        .anyMatch(own.identity()::equals);
  }

  /** Removes members that departed longer ago than the retention. */
  synchronized void removeExpired() {
    long cutoff = now() - DEPARTED_RETENTION.toNanos();
    entries.values().removeIf(entry -> !entry.member.isPresent() && entry.changedAt - cutoff < 0);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
