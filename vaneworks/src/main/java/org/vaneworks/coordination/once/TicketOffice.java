package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Issues tickets and tells its own from others'.
 *
 * <p>A ticket names its home and is signed, so that issuing one takes no memory: only a used ticket
 * has a record. Thread-safe.
 */
public final class TicketOffice {
  private static final Pattern FORM = Pattern.compile("(.+)!(\\d+)!(\\d+)!([0-9a-f]{24})");
  private static final int SIGNATURE_DIGITS = 24;

  /** What a ticket is worth here. */
  public enum Worth {
    VALID,
    EXPIRED,
    FORGED
  }

  private record Held(TicketAuthority authority, long offsetMillis) {}

  private final Executor clock;
  private final OnceLimits limits;
  private final String identity;
  private final AtomicLong sequence = new AtomicLong();

  @GuardedBy("this")
  private final Map<String, Held> authorities = new HashMap<>();

  /** Creates an office that signs as this run of this node. */
  public TicketOffice(Executor clock, OnceLimits limits, String identity, String secret) {
    this.clock = checkNotNull(clock);
    this.limits = checkNotNull(limits);
    this.identity = checkNotNull(identity);
    adopt(new TicketAuthority(identity, secret, now()));
  }

  /** Issues tickets. */
  public ImmutableList<String> issue(int count) {
    ImmutableList.Builder<String> tickets = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      String body = identity + "!" + sequence.incrementAndGet() + "!" + now();
      tickets.add(body + "!" + sign(body, held(identity).orElseThrow().authority()));
    }
    return tickets.build();
  }

  /**
   * Returns the identity of the node that issued a ticket.
   *
   * @throws IllegalArgumentException if the text has not the form of a ticket
   */
  public static String homeOf(String ticket) {
    return parse(ticket).group(1);
  }

  private static Matcher parse(String ticket) {
    Matcher matcher = FORM.matcher(ticket);
    checkArgument(matcher.matches(), "%s is no ticket", ticket);
    return matcher;
  }

  /** Returns whether this node answers for a node's tickets and claims. */
  public boolean answersFor(String node) {
    return held(node).isPresent();
  }

  /** Returns what a ticket is worth whose home this node answers for. */
  public Worth worth(String ticket) {
    Matcher parts = parse(ticket);
    Held held = held(parts.group(1)).orElseThrow();
    String body = ticket.substring(0, ticket.lastIndexOf('!'));
    if (!sign(body, held.authority()).equals(parts.group(4))) {
      return Worth.FORGED;
    }
    long age = now() - held.offsetMillis() - Long.parseLong(parts.group(3));
    return age <= limits.ticketValidity().toMillis() ? Worth.VALID : Worth.EXPIRED;
  }

  private static String sign(String body, TicketAuthority authority) {
    return Hashing.hmacSha256(authority.secret().getBytes(UTF_8))
        .hashString(body, UTF_8)
        .toString()
        .substring(0, SIGNATURE_DIGITS);
  }

  private synchronized Optional<Held> held(String node) {
    return Optional.ofNullable(authorities.get(node));
  }

  /** Takes another node's authority over; its clock goes on from where it was. */
  public synchronized void adopt(TicketAuthority authority) {
    authorities.put(authority.identity(), new Held(authority, now() - authority.clockMillis()));
  }

  /** Returns every authority held, as of now. */
  public synchronized ImmutableList<TicketAuthority> authorities() {
    ImmutableList.Builder<TicketAuthority> all = ImmutableList.builder();
    for (Held held : authorities.values()) {
      TicketAuthority authority = held.authority();
      all.add(
          new TicketAuthority(
              authority.identity(), authority.secret(), now() - held.offsetMillis()));
    }
    return all.build();
  }

  private long now() {
    return clock.currentTime(MILLISECONDS);
  }
}
