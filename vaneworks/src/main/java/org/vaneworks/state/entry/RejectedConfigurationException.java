package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkNotNull;

/** Thrown if a configuration is invalid; holds its API keys, which could be read nevertheless. */
public final class RejectedConfigurationException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private final transient KeyRevision keys;

  /** Creates an exception for an invalid configuration with the given keys. */
  public RejectedConfigurationException(KeyRevision keys, IllegalArgumentException cause) {
    super(cause.getMessage(), cause);
    this.keys = checkNotNull(keys);
  }

  /** Returns the keys of the rejected configuration. */
  public KeyRevision keys() {
    return keys;
  }
}
