package org.vaneworks.tests.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.quarantine.EndpointCrash;
import org.vaneworks.state.RequestContent;

/** Tests how crashes are written to and read from the store. */
final class EndpointCrashTest {
  private static final RequestContent CONTENT =
      RequestContent.of(Optional.empty(), "GET", "host.example", "/", new byte[0]);

  @Test
  void writtenCrashesAreReadBackUnchanged() {
    ImmutableList<EndpointCrash> crashes =
        ImmutableList.of(new EndpointCrash(CONTENT, "i-1@17"), new EndpointCrash(CONTENT, "i 2"));
    assertEquals(crashes, EndpointCrash.read(EndpointCrash.write(crashes)));
  }

  @Property(tries = 200, seed = "11")
  void malformedValueIsRejected(@ForAll @StringLength(max = 30) String value) {
    assertThrows(IllegalArgumentException.class, () -> EndpointCrash.read(value));
  }

  @Test
  void emptyIncarnationIdIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> EndpointCrash.read(CONTENT.digest() + " "));
  }
}
