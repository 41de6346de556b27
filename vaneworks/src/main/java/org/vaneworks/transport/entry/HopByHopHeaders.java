package org.vaneworks.transport.entry;

import com.google.common.collect.ImmutableList;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import java.util.ArrayList;
import java.util.List;

/** Removes hop-by-hop headers (RFC 9110, section 7.6.1). */
final class HopByHopHeaders {
  private static final ImmutableList<CharSequence> NAMES =
      ImmutableList.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          HttpHeaderNames.TRANSFER_ENCODING,
          "upgrade",
          "expect");

  private HopByHopHeaders() {}

  static void remove(HttpHeaders headers) {
    List<String> connectionOptions = new ArrayList<>();
    for (CharSequence value : headers.values(HttpHeaderNames.CONNECTION)) {
      for (String name : value.toString().split(",")) {
        connectionOptions.add(name.strip());
      }
    }
    connectionOptions.stream().filter(name -> !name.isEmpty()).forEach(headers::remove);
    NAMES.forEach(headers::remove);
  }
}
