package org.vaneworks.tests.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vaneworks.coordination.quarantine.EndpointCrash;
import org.vaneworks.state.PromptPart;
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

  @Test
  void partsOfPromptsAreReadBackInOrder() {
    ImmutableList<PromptPart> parts =
        ImmutableList.of(PromptPart.of("writer", "5c1e07a2"), PromptPart.of("writer", "0b"));
    ImmutableList<EndpointCrash> crashes =
        ImmutableList.of(
            new EndpointCrash(CONTENT, parts, "i-1@17"), new EndpointCrash(CONTENT, "i 2"));
    assertEquals(crashes, EndpointCrash.read(EndpointCrash.write(crashes)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\t", "\tdead", "\tdead-1", "\tDEAD-00000000", "\tdead-00000000,"})
  void malformedPartsAreRejected(String parts) {
    String value = CONTENT.digest() + " i-1" + parts;
    assertThrows(IllegalArgumentException.class, () -> EndpointCrash.read(value));
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
