package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * An IP address and a port.
 *
 * @param host an IP address in text form, never a host name
 * @param port 0 to 65535; 0 lets the operating system choose a free port to listen on
 */
public record HostPort(String host, int port) {
  /** Checks that the host is an IP address and that the port is in range. */
  public HostPort {
    checkArgument(InetAddresses.isInetAddress(host), "host must be an IP number: %s", host);
    checkArgument(port >= 0 && port <= 65535, "port must be 0 to 65535: %s", port);
  }

  /**
   * Parses an address such as {@code 127.0.0.1:80} or {@code [::1]:80}.
   *
   * @throws IllegalArgumentException if the text is not an IP address with a port
   */
  public static HostPort parse(String text) {
    HostAndPort parsed = HostAndPort.fromString(text);
    checkArgument(parsed.hasPort(), "an address needs a port: %s", text);
    return new HostPort(parsed.getHost(), parsed.getPort());
  }

  // Written out: the generated methods of a record are linked through method handles, whose classes
  // the JVM has to generate at each start.

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
