package org.vaneworks.state.entry;

import java.util.OptionalInt;

/**
 * The caller that an API key identifies.
 *
 * @param workspace name of the caller's workspace
 * @param priority overrides the route's priority if present
 */
public record Caller(String workspace, OptionalInt priority) {}
