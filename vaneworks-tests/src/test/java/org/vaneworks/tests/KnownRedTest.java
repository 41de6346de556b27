package org.vaneworks.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks which test results CI takes for red, given the list of known failures. */
final class KnownRedTest {
  private static final Path SCRIPT = Path.of("..", ".ci", "known-red").toAbsolutePath();

  @TempDir private Path folder;

  private record Judged(int exitCode, String text) {}

  @BeforeEach
  void reportAPassAndTwoFailures() throws IOException {
    Files.writeString(
        folder.resolve("TEST-sample.xml"),
        """
        <testsuite>
          <testcase name="passes" classname="p.A" time="1"/>
          <testcase name="fails" classname="p.A" time="1">
            <failure message="x" type="y"/>
          </testcase>
          <testcase name="breaks()" classname="p.A" time="1"><error type="y"/></testcase>
        </testsuite>
        """);
  }

  private Judged judge(String... listed) throws Exception {
    Path list = folder.resolve("list.txt");
    StringBuilder lines = new StringBuilder("# Class#method | cause | issue | command\n");
    for (String test : listed) {
      lines.append(test).append(" | cause | 1 | mvn verify\n");
    }
    Files.writeString(list, lines);
    Process process =
        new ProcessBuilder(SCRIPT.toString(), list.toString(), folder.toString())
            .redirectErrorStream(true)
            .start();
    String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new Judged(process.waitFor(), text);
  }

  @Test
  void listedFailuresArePassedOverAndNamed() throws Exception {
    Judged judged = judge("p.A#fails", "p.A#breaks");
    assertEquals(0, judged.exitCode(), judged.text());
    assertTrue(judged.text().contains("still red: p.A#fails"), judged.text());
    assertTrue(judged.text().contains("still red: p.A#breaks"), judged.text());
  }

  @Test
  void listedTestThatPassesIsNamed() throws Exception {
    Judged judged = judge("p.A#fails", "p.A#breaks", "p.A#passes");
    assertEquals(0, judged.exitCode(), judged.text());
    assertTrue(judged.text().contains("to be taken off the list: p.A#passes"), judged.text());
  }

  @Test
  void failureThatIsNotListedIsRed() throws Exception {
    Judged judged = judge("p.A#fails");
    assertEquals(1, judged.exitCode(), judged.text());
    assertTrue(judged.text().contains("red and not listed: p.A#breaks"), judged.text());
  }

  @Test
  void listedTestThatDidNotRunIsRed() throws Exception {
    Judged judged = judge("p.A#fails", "p.A#breaks", "p.A#missing");
    assertEquals(1, judged.exitCode(), judged.text());
    assertTrue(judged.text().contains("did not run: p.A#missing"), judged.text());
  }

  @Test
  void fourListedTestsAreTooMany() throws Exception {
    Judged judged = judge("p.A#fails", "p.A#breaks", "p.A#passes", "p.B#other");
    assertEquals(1, judged.exitCode(), judged.text());
    assertTrue(judged.text().contains("3 at most"), judged.text());
  }
}
