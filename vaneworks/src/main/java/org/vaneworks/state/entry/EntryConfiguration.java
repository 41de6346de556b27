package org.vaneworks.state.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** A complete version of the operators' configuration. Immutable. */
public final class EntryConfiguration {
  private final long version;
  private final ImmutableListMultimap<String, EntryRoute> routesByHost;
  private final ImmutableMap<String, ServiceProfile> services;
  private final ApiKeys keys;
  private final EntryLimits limits;

  private EntryConfiguration(
      long version,
      ImmutableListMultimap<String, EntryRoute> routesByHost,
      ImmutableMap<String, ServiceProfile> services,
      ApiKeys keys,
      EntryLimits limits) {
    this.version = version;
    this.routesByHost = routesByHost;
    this.services = services;
    this.keys = keys;
    this.limits = limits;
  }

  /**
   * Returns a configuration.
   *
   * @param version higher is newer
   * @param keys the callers' keys, and whether requests require one
   */
  public static EntryConfiguration of(
      long version,
      List<EntryRoute> routes,
      List<ServiceProfile> services,
      ApiKeys keys,
      EntryLimits limits) {
    ImmutableListMultimap.Builder<String, EntryRoute> byHost = ImmutableListMultimap.builder();
    routes.stream()
        .sorted(Comparator.comparingInt((EntryRoute route) -> -route.pathPrefix().length()))
        .forEach(route -> byHost.put(hostKey(route.host()), route));
    ImmutableMap.Builder<String, ServiceProfile> byName = ImmutableMap.builder();
    services.forEach(service -> byName.put(service.name(), service));
    return new EntryConfiguration(version, byHost.build(), byName.buildKeepingLast(), keys, limits);
  }

  /** Returns this configuration with the keys that remain valid after a revision. */
  public EntryConfiguration withKeys(KeyRevision revision) {
    return new EntryConfiguration(version, routesByHost, services, revision.applyTo(keys), limits);
  }

  /** Returns the version; higher is newer. */
  public long version() {
    return version;
  }

  /** Returns the host's route with the longest prefix that matches a path. */
  public Optional<EntryRoute> route(String host, String path) {
    for (EntryRoute route : routesByHost.get(hostKey(host))) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns whether requests on routes that are not open require a key. */
  public boolean needsKeys() {
    return keys.required();
  }

  /**
   * Returns whether requests with the given key, or without one, may use routes that are not open.
   */
  public boolean accepts(Optional<String> key) {
    return keys.accept(key);
  }

  /** Returns the caller that a key identifies. */
  public Optional<Caller> caller(String key) {
    return keys.caller(key);
  }

  /** Returns the service with the given name. */
  public Optional<ServiceProfile> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the services whose endpoints are engines. */
  public ImmutableList<ServiceProfile> engineServices() {
    return services.values().stream()
        .filter(service -> service.model().isPresent())
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the limits on callers' requests and connections. */
  public EntryLimits limits() {
    return limits;
  }

  /** Normalizes a host: the port is removed, and case is insignificant (RFC 9110). */
  private static String hostKey(String host) {
    int port = host.lastIndexOf(':');
    return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
  }
}
