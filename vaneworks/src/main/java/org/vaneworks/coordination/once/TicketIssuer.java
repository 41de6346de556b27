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
 * Issues tickets and verifies those of this node and of the nodes whose records it took over.
 *
 * <p>A ticket contains the identity of its home, the node that issued it, and a signature. Issuing
 * one takes no memory; only a ticket that was used has a record. Thread-safe.
 */
public final class TicketIssuer {
  private static final Pattern TICKET_PATTERN =
      Pattern.compile("(.+)!(\\d+)!(\\d+)!([0-9a-f]{24})");
  private static final int SIGNATURE_DIGITS = 24;

  /** The result of verifying a ticket. */
  public enum Validity {
    VALID,
    EXPIRED,
    FORGED
  }

  /** An authority, and the offset from its clock to the clock of this node. */
  private record HeldAuthority(TicketAuthority authority, long offsetMillis) {}

  private final Executor clock;
  private final OnceLimits limits;
  private final String identity;
  private final AtomicLong sequence = new AtomicLong();

  @GuardedBy("this")
  private final Map<String, HeldAuthority> authorities = new HashMap<>();

  /** Creates an issuer that signs tickets with the identity and secret of this run of the node. */
  public TicketIssuer(Executor clock, OnceLimits limits, String identity, String secret) {
    this.clock = checkNotNull(clock);
    this.limits = checkNotNull(limits);
    this.identity = checkNotNull(identity);
    addAuthority(new TicketAuthority(identity, secret, now()));
  }

  /** Issues the given number of tickets. */
  public ImmutableList<String> issue(int count) {
    ImmutableList.Builder<String> tickets = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      String body = identity + "!" + sequence.incrementAndGet() + "!" + now();
      tickets.add(body + "!" + sign(body, authorityOf(identity).orElseThrow().authority()));
    }
    return tickets.build();
  }

  /**
   * Returns the identity of the node that issued a ticket.
   *
   * @throws IllegalArgumentException if the text is not in the format of a ticket
   */
  public static String homeOf(String ticket) {
    return parse(ticket).group(1);
  }

  private static Matcher parse(String ticket) {
    Matcher matcher = TICKET_PATTERN.matcher(ticket);
    checkArgument(matcher.matches(), "%s is no ticket", ticket);
    return matcher;
  }

  /** Returns whether this node is responsible for the tickets and claims of the given node. */
  public boolean isResponsibleFor(String node) {
    return authorityOf(node).isPresent();
  }

  /** Verifies a ticket whose home this node is responsible for. */
  public Validity verify(String ticket) {
    Matcher parts = parse(ticket);
    HeldAuthority held = authorityOf(parts.group(1)).orElseThrow();
    String body = ticket.substring(0, ticket.lastIndexOf('!'));
    if (!sign(body, held.authority()).equals(parts.group(4))) {
      return Validity.FORGED;
    }
    long age = now() - held.offsetMillis() - Long.parseLong(parts.group(3));
    return age <= limits.ticketValidity().toMillis() ? Validity.VALID : Validity.EXPIRED;
  }

  private static String sign(String body, TicketAuthority authority) {
    return Hashing.hmacSha256(authority.secret().getBytes(UTF_8))
        .hashString(body, UTF_8)
        .toString()
        .substring(0, SIGNATURE_DIGITS);
  }

  private synchronized Optional<HeldAuthority> authorityOf(String node) {
    return Optional.ofNullable(authorities.get(node));
  }

  /** Adds the authority of another node; the age of its tickets is computed from its clock. */
  public synchronized void addAuthority(TicketAuthority authority) {
    authorities.put(
        authority.identity(), new HeldAuthority(authority, now() - authority.clockMillis()));
  }

  /** Returns all authorities, with their clocks advanced to the present. */
  public synchronized ImmutableList<TicketAuthority> authorities() {
    ImmutableList.Builder<TicketAuthority> all = ImmutableList.builder();
    for (HeldAuthority held : authorities.values()) {
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
