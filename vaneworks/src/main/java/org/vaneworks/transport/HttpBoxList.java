package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.coordination.boxes.BoxList;
import org.vaneworks.protocol.PlatformJson;
import org.vaneworks.state.HostPort;

/** Reads the platform's box list over HTTP. Thread-safe. */
public final class HttpBoxList implements BoxList {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final HttpSender sender;
  private final HostPort address;

  private HttpBoxList(HttpSender sender, HostPort address) {
    this.sender = checkNotNull(sender);
    this.address = checkNotNull(address);
  }

  /** Returns a reader of the list at the given address. */
  public static HttpBoxList at(HttpSender sender, HostPort address) {
    return new HttpBoxList(sender, address);
  }

  @Override
  public CompletableFuture<ImmutableList<Box>> boxes() {
    return sender
        .get(address, PlatformJson.BOXES_PATH, CALL_TIMEOUT)
        .thenApply(response -> PlatformJson.readBoxes(response.body()));
  }
}
