package org.vaneworks.coordination.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.RequestContent;

/** A caller's request as decisions see it; its headers and body stay with the transport. */
public interface CallerRequest {
  /** Returns the caller's name of this attempt. */
  String id();

  /** Returns the host that it names. */
  String host();

  /** Returns its path without the query, as it was sent. */
  String path();

  /** Returns the secret that shows whose it is. */
  Optional<String> key();

  /** Returns how long the caller waits. */
  Optional<Duration> callerTimeout();

  /** Returns how large it is expected to be, where it says so. */
  Optional<RequestSize> size();

  /**
   * Returns what it asks for.
   *
   * @param workspace whose request it is, where that is known
   */
  RequestContent content(Optional<String> workspace);
}
