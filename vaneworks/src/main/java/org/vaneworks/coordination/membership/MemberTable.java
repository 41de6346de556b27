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
 * What this node thinks of every member, and which news are still to be passed on.
 *
 * <p>Thread-safe; its lock is taken with no other lock held inside.
 */
public final class MemberTable {
  /** A news item is passed on this often for each doubling of the members. */
  private static final int REPEATS_PER_DOUBLING = 3;

  /** Members that are gone are remembered this long, so that old news can't bring them back. */
  private static final Duration REMEMBER_GONE = Duration.ofMinutes(30);

  private static final class Entry {
    private Member member;
    private int timesTold;
    private long since;

    Entry(Member member, long since) {
      this.member = member;
      this.since = since;
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

  /** Returns a table that knows only this node. */
  public static MemberTable create(Executor clock, Member self) {
    return new MemberTable(clock, self);
  }

  /** Returns this node's own entry. */
  public synchronized Member self() {
    return self;
  }

  /** Changes this node's own entry; the change is news. */
  synchronized void selfIs(MemberStatus status, Optional<String> successor) {
    self =
        new Member(
            self.identity(),
            self.address(),
            self.dataCentre(),
            self.sequence() + 1,
            status,
            successor);
  }

  /** Takes news in; returns whether it was new. */
  boolean merge(Member news) {
    synchronized (this) {
      if (news.identity().equals(self.identity())) {
        refute(news);
        return false;
      }
      Entry known = entries.get(news.identity());
      if (known != null && !news.overrides(known.member)) {
        return false;
      }
      boolean wasPresent = known != null && known.member.isPresent();
      if (known == null) {
        entries.put(news.identity(), new Entry(news, now()));
      } else {
        known.member = news;
        known.timesTold = 0;
        known.since = now();
      }
      replaceOlderRun(news);
      log(news, wasPresent);
    }
    return true;
  }

  /** Someone doubts this node: it says so itself, at a higher sequence, that it is alive. */
  @GuardedBy("this")
  private void refute(Member news) {
    boolean doubted = news.status() != MemberStatus.ALIVE && self.status() == MemberStatus.ALIVE;
    if (doubted && news.sequence() >= self.sequence()) {
      self =
          new Member(
              self.identity(),
              self.address(),
              self.dataCentre(),
              news.sequence() + 1,
              self.status(),
              self.successor());
    }
  }

  /** An address has one live run at a time: a new run there ends the one before. */
  @GuardedBy("this")
  private void replaceOlderRun(Member news) {
    if (news.status() != MemberStatus.ALIVE) {
      return;
    }
    for (Entry entry : entries.values()) {
      boolean sameAddress = entry.member.address().equals(news.address());
      if (sameAddress && entry.member.isPresent() && !entry.member.equals(news)) {
        entry.member = entry.member.withStatus(MemberStatus.DEAD);
        entry.timesTold = 0;
        entry.since = now();
      }
    }
  }

  private static void log(Member news, boolean wasPresent) {
    Event event =
        switch (news.status()) {
          case ALIVE -> Event.MEMBER_JOINED;
          case SUSPECT -> Event.MEMBER_SUSPECTED;
          case DEAD, LEFT -> Event.MEMBER_LEFT;
        };
    if (news.status() != MemberStatus.ALIVE || !wasPresent) {
      EventLog.info(event, "member", news.identity(), "status", news.status());
    }
  }

  /** Marks a member that does not answer; returns the entry that this made, if it made one. */
  Optional<Member> suspect(String identity) {
    return demote(identity, MemberStatus.ALIVE, MemberStatus.SUSPECT);
  }

  /** Declares a member dead that is still suspected under the same sequence. */
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

  /** Returns news to send, those told least first; each is told a bounded number of times. */
  synchronized ImmutableList<Member> news(int atMost) {
    int limit = REPEATS_PER_DOUBLING * (32 - Integer.numberOfLeadingZeros(entries.size() + 1));
    List<Entry> untold = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.timesTold < limit) {
        untold.add(entry);
      }
    }
    untold.sort(Comparator.comparingInt(entry -> entry.timesTold));
    ImmutableList.Builder<Member> news = ImmutableList.builder();
    for (Entry entry : untold.subList(0, Math.min(atMost, untold.size()))) {
      entry.timesTold++;
      news.add(entry.member);
    }
    return news.build();
  }

  /** Returns every entry but this node's own. */
  public synchronized ImmutableList<Member> others() {
    return entries.values().stream()
        .map(entry -> entry.member)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the others that may be asked for something. */
  public ImmutableList<Member> present() {
    return others().stream().filter(Member::isPresent).collect(ImmutableList.toImmutableList());
  }

  /** Returns how many nodes there are, this one included. */
  public int size() {
    return present().size() + 1;
  }

  /** Returns what is said of a member, this node included. */
  public synchronized Optional<Member> find(String identity) {
    if (identity.equals(self.identity())) {
      return Optional.of(self);
    }
    return Optional.ofNullable(entries.get(identity)).map(entry -> entry.member);
  }

  /** Returns whether a present member listens at an address. */
  boolean knows(HostPort address) {
    return self().address().equals(address)
        || present().stream().anyMatch(member -> member.address().equals(address));
  }

  /** Returns the identities that a task falls on first, this node's among them. */
  public List<String> rank(String task) {
    Stream<String> identities =
        Stream.concat(Stream.of(self().identity()), present().stream().map(Member::identity));
    return Rendezvous.order(task, identities);
  }

  /** Returns whether a task of this data centre falls on this node, among the first few. */
  public boolean isAssignedHere(String task, int among) {
    Member own = self();
    Stream<String> identities =
        Stream.concat(
            Stream.of(own.identity()),
            present().stream()
                .filter(member -> member.dataCentre().equals(own.dataCentre()))
                .map(Member::identity));
    return Rendezvous.order(task, identities).stream()
        .limit(among)
        .anyMatch(own.identity()::equals);
  }

  /** Forgets members that are gone for long. */
  synchronized void forgetOld() {
    long old = now() - REMEMBER_GONE.toNanos();
    entries.values().removeIf(entry -> !entry.member.isPresent() && entry.since - old < 0);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
