package org.vaneworks.state.entry;

import java.util.Optional;

/**
 * A service that routes send requests to.
 *
 * @param name the service's name
 * @param maxConnections maximum number of connections that one endpoint accepts from all callers
 * @param model the model that its engines run; empty for a plain service
 */
public record ServiceProfile(String name, int maxConnections, Optional<ModelProfile> model) {}
