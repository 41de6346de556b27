package org.vaneworks.state.entry;

import java.time.Duration;

/**
 * Limits on callers' requests and connections.
 *
 * @param maxHeaderBytes maximum size of start line and headers together
 * @param maxBodyBytes maximum size of the body
 * @param headerTimeout maximum time from the first byte of a request to the end of its headers
 * @param idleTimeout maximum time that a connection may be idle between requests
 */
public record EntryLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
