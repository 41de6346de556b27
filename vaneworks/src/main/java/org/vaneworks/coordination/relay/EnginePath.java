package org.vaneworks.coordination.relay;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * A path over engines: parts that together run every layer of a model exactly once and in order,
 * each engine at most once.
 */
public final class EnginePath {
  private final ImmutableList<PathPart> parts;

  private EnginePath(ImmutableList<PathPart> parts) {
    this.parts = parts;
  }

  /**
   * Returns the path that consists of the given parts.
   *
   * @param layers the number of layers of the model
   * @throws IllegalArgumentException if the parts leave out or repeat a layer, or contain an engine
   *     twice
   */
  public static EnginePath of(int layers, List<PathPart> parts) {
    int next = 0;
    Set<TrackedEndpoint> engines = new HashSet<>();
    for (PathPart part : parts) {
      checkArgument(part.layers().from() == next, "%s should begin at layer %s", part, next);
      checkArgument(engines.add(part.engine()), "%s occurs twice", part.engine());
      next = part.layers().to();
    }
    checkArgument(next == layers, "the parts end at layer %s, expected %s", next, layers);
    return new EnginePath(ImmutableList.copyOf(parts));
  }

  /** Returns the parts in layer order. */
  public ImmutableList<PathPart> parts() {
    return parts;
  }

  /** Returns the engine that the request is sent to. */
  public TrackedEndpoint first() {
    return parts.get(0).engine();
  }

  /** Returns whether the engine runs a part of the path. */
  public boolean contains(TrackedEndpoint engine) {
    return parts.stream().anyMatch(part -> part.engine() == engine);
  }

  /** Adds a request with that many tokens to the load of each engine on the path. */
  public void reserve(int tokens) {
    parts.forEach(part -> part.engine().reserve((double) tokens * part.layers().size()));
  }

  /**
   * Adds a request with that many tokens to the load of each engine that is not on another path.
   *
   * @return withdraws the request from these engines
   */
  public Runnable reserveBeyond(EnginePath other, int tokens) {
    ImmutableList<PathPart> added =
        parts.stream()
            .filter(part -> !other.contains(part.engine()))
            .collect(ImmutableList.toImmutableList());
    added.forEach(part -> part.engine().reserve((double) tokens * part.layers().size()));
    return () ->
        added.forEach(part -> part.engine().withdraw((double) tokens * part.layers().size()));
  }

  /** Removes a request with that many tokens from the load of each engine on the path. */
  public void release(int tokens) {
    parts.forEach(part -> part.engine().release((double) tokens * part.layers().size()));
  }

  /** Returns the path in the form {@code address=from-to,...}. */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (PathPart part : parts) {
      if (text.length() > 0) {
        text.append(',');
      }
      text.append(part.engine().address()).append('=').append(part.layers());
    }
    return text.toString();
  }

  @Override
  public String toString() {
    return text();
  }
}
