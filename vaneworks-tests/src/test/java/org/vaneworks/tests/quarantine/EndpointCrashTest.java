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

/** Checks how ends are written to the store and read from it. */
final class EndpointCrashTest {
  private static final RequestContent CONTENT =
      RequestContent.of(Optional.empty(), "GET", "host.example", "/", new byte[0]);

  @Test
  void endsAreReadAsTheyWereWritten() {
    ImmutableList<EndpointCrash> ends =
        ImmutableList.of(new EndpointCrash(CONTENT, "i-1@17"), new EndpointCrash(CONTENT, "i 2"));
    assertEquals(ends, EndpointCrash.read(EndpointCrash.write(ends)));
  }

  @Property(tries = 200, seed = "11")
  void whatIsNoListOfEndsIsRejected(@ForAll @StringLength(max = 30) String value) {
    assertThrows(IllegalArgumentException.class, () -> EndpointCrash.read(value));
  }

  @Test
  void runWithoutANameIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> EndpointCrash.read(CONTENT.digest() + " "));
  }
}
