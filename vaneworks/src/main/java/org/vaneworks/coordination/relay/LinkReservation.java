package org.vaneworks.coordination.relay;

import com.google.common.collect.ImmutableList;
import org.vaneworks.coordination.fleet.DataCentreLinks;
import org.vaneworks.state.entry.LinkProfile;

/**
 * What one request on a path reserves on the links between data centres that the path crosses: its
 * prompt until the first event, and its answer until it ends.
 *
 * <p>Confined to the node's event loop.
 */
public final class LinkReservation {
  private record Crossing(String from, String to) {}

  private final DataCentreLinks links;
  private final ImmutableList<Crossing> crossings;
  private final double promptMegabits;
  private final double answerMegabits;
  private boolean promptPassed;
  private boolean released;

  private LinkReservation(
      DataCentreLinks links,
      ImmutableList<Crossing> crossings,
      double promptMegabits,
      double answerMegabits) {
    this.links = links;
    this.crossings = crossings;
    this.promptMegabits = promptMegabits;
    this.answerMegabits = answerMegabits;
  }

  /** Reserves the links that a path crosses. */
  public static LinkReservation reserve(
      DataCentreLinks links, LinkProfile profile, EnginePath path, RequestSize size) {
    LinkReservation reservation =
        new LinkReservation(
            links,
            crossings(path),
            size.promptTokens() * profile.megabitsPerToken(),
            size.answerTokens() * profile.megabitsPerToken());
    reservation.crossings.forEach(
        crossing ->
            links.reserve(
                crossing.from(),
                crossing.to(),
                reservation.promptMegabits + reservation.answerMegabits));
    return reservation;
  }

  private static ImmutableList<Crossing> crossings(EnginePath path) {
    ImmutableList.Builder<Crossing> crossings = ImmutableList.builder();
    String from = path.first().endpoint().dataCentre();
    for (PathPart part : path.parts()) {
      String to = part.engine().endpoint().dataCentre();
      if (!to.equals(from)) {
        crossings.add(new Crossing(from, to));
      }
      from = to;
    }
    return crossings.build();
  }

  /** Returns whether the path crosses no link. */
  public boolean isEmpty() {
    return crossings.isEmpty();
  }

  /** Releases what the prompt takes, once it has passed the links; later calls have no effect. */
  public void recordPromptPassed() {
    if (!promptPassed && !released) {
      promptPassed = true;
      releaseMegabits(promptMegabits);
    }
  }

  /** Releases what is still reserved; has no effect if called again. */
  public void release() {
    if (!released) {
      released = true;
      releaseMegabits(answerMegabits + (promptPassed ? 0 : promptMegabits));
    }
  }

  private void releaseMegabits(double megabits) {
    crossings.forEach(crossing -> links.release(crossing.from(), crossing.to(), megabits));
  }
}
