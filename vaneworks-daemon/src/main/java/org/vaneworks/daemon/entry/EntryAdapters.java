package org.vaneworks.daemon.entry;

import java.util.function.Function;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.shared.SharedStore;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.transport.entry.HeaderDialect;

/**
 * The adapters that connect a forwarding daemon to a platform. Adapters translate between wire
 * formats and the types of this project; they make no decisions and keep no state.
 *
 * @param store the platform's store
 * @param engines report requests and orders to engines
 * @param headers the meaning of request and response headers
 * @param configurationKey the key of the operators' configuration in the store
 * @param configuration decodes the configuration
 * @param endpointPrefix the prefix of the keys under which endpoints register themselves
 * @param endpoint decodes the entry of an endpoint
 */
public record EntryAdapters(
    SharedStore store,
    EngineControl engines,
    HeaderDialect headers,
    String configurationKey,
    Function<StoredItem, EntryConfiguration> configuration,
    String endpointPrefix,
    Function<StoredItem, FleetEndpoint> endpoint) {}
