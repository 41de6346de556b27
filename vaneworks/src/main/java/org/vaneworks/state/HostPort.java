package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * An IP number and a port.
 *
 * @param host an IP number, never a name
 * @param port 0 to 65535; 0 asks the system for a free one when listening
 */
public record HostPort(String host, int port) {
  /** Checks both parts. */
  public HostPort {
    checkArgument(InetAddresses.isInetAddress(host), "host must be an IP number: %s", host);
    checkArgument(port >= 0 && port <= 65535, "port must be 0 to 65535: %s", port);
  }

  /** Parses {@code 127.0.0.1:80} or {@code [::1]:80}. */
  public static HostPort parse(String text) {
    HostAndPort parsed = HostAndPort.fromString(text);
    checkArgument(parsed.hasPort(), "an address needs a port: %s", text);
    return new HostPort(parsed.getHost(), parsed.getPort());
  }

  // Written out: generated ones are linked by method handles, whose classes each start makes anew.

  @Override
  public boolean equals(Object other) {
    return other instanceof HostPort that && port == that.port && host.equals(that.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }

  @Override
  public String toString() {
    return HostAndPort.fromParts(host, port).toString();
  }
}
