package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.annotations.VisibleForTesting;
import io.netty.util.internal.PlatformDependent;
import io.servicetalk.concurrent.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.vaneworks.state.HostPort;

/**
 * Bounds the memory that a node holds for callers and endpoints: heads, bodies in both directions,
 * and the copies that are made of them when they are written.
 *
 * <p>A large body must leave a part of the limit free, so that small requests are still accepted
 * when large ones are refused. Confined to the node's event loop, except for {@link #heldBytes}.
 */
public final class MemoryBudget {
  /**
   * Share of the heap. With 64 MB, a node served while its bodies took 39 MB, and ran out of memory
   * at 46 MB.
   */
  private static final double HEAP_SHARE = 1.0 / 2;

  /**
   * Share of the direct memory. Copies of bodies are at most half of what is counted; the rest is
   * for answers that callers have not read, and for buffers into which sockets are read.
   */
  private static final double DIRECT_SHARE = 7.0 / 8;

  /** Share of the limit that is kept free for small requests. */
  private static final double SMALL_REQUEST_SHARE = 1.0 / 8;

  /** Share of the limit by which small heads and connections may exceed it. */
  private static final double HEAD_SHARE = 1.0 / 8;

  /**
   * Share of the limit that connections may hold which were closed to make room. They are free only
   * after the current batch of events, in which many more connections may be read.
   */
  private static final double CLOSING_SHARE = 1.0 / 8;

  /** Share of the limit that the heads and incomplete events of one endpoint may hold. */
  private static final double ENDPOINT_SHARE = 1.0 / 32;

  /** Share of the limit that those of all endpoints may hold, also beyond the limit. */
  private static final double ENDPOINTS_SHARE = 1.0 / 4;

  /** Maximum size of what one response holds that may exceed the shares of endpoints. */
  static final int SMALL_RESPONSE_BYTES = 8 << 10;

  /** Maximum size of a request that counts as small. */
  static final int SMALL_REQUEST_BYTES = 32 << 10;

  private final long limitBytes;
  private final LongSupplier unwrittenBytes;
  private final TimeSource clock;
  private volatile long heldBytes;

  /** What connections, heads and input that is not decoded yet hold. */
  private long inputBytes;

  /** What the heads and incomplete events of each endpoint's responses hold, if anything. */
  private final Map<HostPort, Long> endpointBytes = new HashMap<>();

  private volatile long allEndpointBytes;

  /** What closed connections hold of it, and the budget does not count, until they are gone. */
  private long closingBytes;

  /** Input that has arrived in part, oldest first. */
  private final Set<PendingInput> pendingInputs = new LinkedHashSet<>();

  private MemoryBudget(long limitBytes, LongSupplier unwrittenBytes, TimeSource clock) {
    checkArgument(limitBytes > 0, "limit must be positive: %s", limitBytes);
    this.limitBytes = limitBytes;
    this.unwrittenBytes = checkNotNull(unwrittenBytes);
    this.clock = checkNotNull(clock);
  }

  /**
   * Returns a budget of the given size.
   *
   * @param unwrittenBytes returns the bytes that the transport holds for callers that have not read
   *     them yet, in addition to those that are counted here
   * @param clock by which input is judged as stalled
   */
  public static MemoryBudget of(long limitBytes, LongSupplier unwrittenBytes, TimeSource clock) {
    return new MemoryBudget(limitBytes, unwrittenBytes, clock);
  }

  /**
   * Returns a budget that is derived from the maximum heap and direct memory of this process.
   *
   * @see #of
   */
  public static MemoryBudget ofProcess(LongSupplier unwrittenBytes, TimeSource clock) {
    return of(
        limitFor(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory()),
        unwrittenBytes,
        clock);
  }

  /**
   * Returns the limit for a process. Each byte may be held in the heap or in direct memory, so the
   * smaller share counts.
   */
  static long limitFor(long heapBytes, long directBytes) {
    return (long) Math.min(heapBytes * HEAP_SHARE, directBytes * DIRECT_SHARE);
  }

  /** Returns all bytes that are counted now, without those of {@code unwrittenBytes}. */
  @VisibleForTesting
  long countedBytes() {
    return heldBytes + inputBytes + allEndpointBytes;
  }

  /** Returns the maximum number of bytes. */
  public long limitBytes() {
    return limitBytes;
  }

  /**
   * Returns the number of bytes that are counted now for bodies and answers, without those of
   * {@code unwrittenBytes}.
   */
  public long heldBytes() {
    return heldBytes + allEndpointBytes;
  }

  /**
   * Returns whether more bytes may be held for a request that holds a total of so many bytes. If
   * memory is short, gives up input whose client has stalled.
   */
  boolean hasRoom(long moreBytes, long totalBytes) {
    boolean small = totalBytes <= SMALL_REQUEST_BYTES;
    long allowed = small ? limitBytes : (long) (limitBytes * (1 - SMALL_REQUEST_SHARE));
    return isWithin(moreBytes, allowed) || makesRoom(moreBytes, allowed);
  }

  /**
   * Returns whether more bytes may be held for a connection, or for a head. Small ones may exceed
   * the limit by a share of it, so that a request that is refused gets an answer.
   */
  boolean hasRoomForHead(long moreBytes, long totalBytes) {
    if (totalBytes > SMALL_REQUEST_BYTES) {
      return hasRoom(moreBytes, totalBytes);
    }
    long allowed = (long) (limitBytes * (1 + HEAD_SHARE));
    return isWithin(moreBytes, allowed) || makesRoom(moreBytes, allowed);
  }

  private boolean isWithin(long moreBytes, long allowed) {
    return countedBytes() + moreBytes + unwrittenBytes.getAsLong() <= allowed;
  }

  /** Gives up as little stalled input as needed, oldest first, or none if all is not enough. */
  private boolean makesRoom(long moreBytes, long allowed) {
    if (closingBytes > limitBytes * CLOSING_SHARE) {
      return false;
    }
    List<PendingInput> stalled = new ArrayList<>();
    long freedBytes = 0;
    for (PendingInput input : pendingInputs) {
      if (isWithin(moreBytes - freedBytes, allowed)) {
        break;
      }
      if (input.isStalled()) {
        stalled.add(input);
        freedBytes += input.heldBytes();
      }
    }
    if (!isWithin(moreBytes - freedBytes, allowed)) {
      return false;
    }
    pendingInputs.removeAll(stalled);
    stalled.forEach(PendingInput::giveUp);
    return isWithin(moreBytes, allowed);
  }

  /**
   * Returns whether more bytes may be held of a response of an endpoint, for what one holder has a
   * total of so many bytes. An endpoint is limited to a share, so that others have room. Within the
   * shares there is room also when requests have taken all, as their responses must not fail.
   */
  boolean hasRoomForEndpoint(HostPort endpoint, long moreBytes, long totalBytes) {
    if (totalBytes <= SMALL_RESPONSE_BYTES) {
      return true;
    }
    long ofEndpoint = endpointBytes.getOrDefault(endpoint, 0L);
    return ofEndpoint + moreBytes <= limitBytes * ENDPOINT_SHARE
        && allEndpointBytes + moreBytes <= limitBytes * ENDPOINTS_SHARE;
  }

  /**
   * Changes the number of bytes that are held of responses of an endpoint, whether or not there is
   * room.
   */
  void addForEndpoint(HostPort endpoint, long bytes) {
    if (bytes == 0) {
      return;
    }
    allEndpointBytes += bytes;
    endpointBytes.merge(endpoint, bytes, (held, more) -> held + more == 0 ? null : held + more);
  }

  /** Changes the number of bytes that are held for connections, heads and undecoded input. */
  void addInput(long bytes) {
    inputBytes += bytes;
  }

  /** Changes the number of bytes that connections hold which were closed to make room. */
  void addClosing(long bytes) {
    closingBytes += bytes;
  }

  /** Adds input that may be given up once it has stalled. */
  void addPending(PendingInput input) {
    pendingInputs.add(input);
  }

  /** Removes input that has arrived completely, or whose connection was closed. */
  void removePending(PendingInput input) {
    pendingInputs.remove(input);
  }

  /** Changes the number of bytes that are held, whether or not they are within the limit. */
  void add(long bytes) {
    heldBytes += bytes;
  }

  /** Returns the clock by which input is judged as stalled. */
  TimeSource clock() {
    return clock;
  }

  /** Returns a lease that holds nothing yet. */
  MemoryLease lease() {
    return new MemoryLease(this);
  }
}
