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

/** Tests how the CI script {@code known-red} evaluates test results against known failures. */
final class KnownRedTest {
  private static final Path SCRIPT = Path.of("..", ".ci", "known-red").toAbsolutePath();

  @TempDir private Path folder;

  private record Result(int exitCode, String text) {}

  @BeforeEach
  void writeReportWithOnePassAndTwoFailures() throws IOException {
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

  private Result runScript(String... listed) throws Exception {
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
    return new Result(process.waitFor(), text);
  }

  @Test
  void listedFailuresAreToleratedAndReported() throws Exception {
    Result result = runScript("p.A#fails", "p.A#breaks");
    assertEquals(0, result.exitCode(), result.text());
    assertTrue(result.text().contains("still red: p.A#fails"), result.text());
    assertTrue(result.text().contains("still red: p.A#breaks"), result.text());
  }

  @Test
  void listedTestThatPassesIsReported() throws Exception {
    Result result = runScript("p.A#fails", "p.A#breaks", "p.A#passes");
    assertEquals(0, result.exitCode(), result.text());
    assertTrue(result.text().contains("to be taken off the list: p.A#passes"), result.text());
  }

  @Test
  void unlistedFailureFailsTheBuild() throws Exception {
    Result result = runScript("p.A#fails");
    assertEquals(1, result.exitCode(), result.text());
    assertTrue(result.text().contains("red and not listed: p.A#breaks"), result.text());
  }

  @Test
  void listedTestThatDidNotRunFailsTheBuild() throws Exception {
    Result result = runScript("p.A#fails", "p.A#breaks", "p.A#missing");
    assertEquals(1, result.exitCode(), result.text());
    assertTrue(result.text().contains("did not run: p.A#missing"), result.text());
  }

  @Test
  void moreThanThreeListedTestsFailTheBuild() throws Exception {
    Result result = runScript("p.A#fails", "p.A#breaks", "p.A#passes", "p.B#other");
    assertEquals(1, result.exitCode(), result.text());
    assertTrue(result.text().contains("3 at most"), result.text());
  }
}
