package org.vaneworks.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class TraceCommandTest {
  private static final String REQUEST_RESENT =
      "{\"time\":\"2026-12-02T10:00:01Z\",\"level\":\"INFO\",\"event\":\"VW4010\",\"request\":\"q1\",\"sends\":1}";
  private static final String REQUEST_REFUSED =
      "{\"time\":\"2026-12-02T10:00:02Z\",\"level\":\"INFO\",\"event\":\"VW4008\",\"request\":\"q1\"}";
  private static final String OTHER_REQUEST =
      "{\"time\":\"2026-12-02T10:00:01.5Z\",\"level\":\"INFO\",\"event\":\"VW4008\",\"request\":\"q2\"}";
  private static final String NODE_EVENT =
      "{\"time\":\"2026-12-02T10:00:00Z\",\"level\":\"WARN\",\"event\":\"VW3004\",\"endpoint\":\"e1\"}";
  private static final String OLD_NODE_EVENT =
      "{\"time\":\"2026-12-02T09:00:00Z\",\"level\":\"INFO\",\"event\":\"VW1003\"}";

  @TempDir private Path folder;

  @Test
  void printsLinesOfOneRequestOrderedByTime() throws Exception {
    Path box1 = log("box1.log", REQUEST_REFUSED, OTHER_REQUEST);
    Path box2 = log("box2.log", "not a log line", REQUEST_RESENT);

    assertEquals(
        List.of(
            "2026-12-02T10:00:01Z box2.log VW4010 sends=1", "2026-12-02T10:00:02Z box1.log VW4008"),
        run(ExitCodes.OK, "trace", "q1", box1.toString(), box2.toString()));
  }

  @Test
  void usesLastWordBeforeJsonAsSource() throws Exception {
    Path all = log("all.log", "  12.5 box7 " + REQUEST_REFUSED);

    assertEquals(
        List.of("2026-12-02T10:00:02Z box7 VW4008"),
        run(ExitCodes.OK, "trace", "q1", all.toString()));
  }

  @Test
  void beliefsOptionAddsRecentEventsOfSameBox() throws Exception {
    Path box1 = log("box1.log", OLD_NODE_EVENT, NODE_EVENT, REQUEST_REFUSED);
    Path box2 = log("box2.log", NODE_EVENT);

    assertEquals(
        List.of(
            "2026-12-02T10:00:00Z box1.log VW3004 endpoint=\"e1\"",
            "2026-12-02T10:00:02Z box1.log VW4008"),
        run(ExitCodes.OK, "trace", "--beliefs", "q1", box1.toString(), box2.toString()));
  }

  @Test
  void rejectsUnknownRequestId() throws Exception {
    assertEquals(
        List.of(),
        run(ExitCodes.NOT_ACCEPTED, "trace", "q9", log("box1.log", REQUEST_REFUSED).toString()));
  }

  @Test
  void rejectsMissingFile() {
    assertEquals(
        List.of(),
        run(ExitCodes.NOT_ACCEPTED, "trace", "q1", folder.resolve("none.log").toString()));
  }

  private Path log(String name, String... lines) throws Exception {
    return Files.write(folder.resolve(name), List.of(lines));
  }

  private static List<String> run(int exitCode, String... arguments) {
    PrintStream originalOut = System.out;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      assertEquals(exitCode, VaneworksMain.commandLine().execute(arguments));
    } finally {
      System.setOut(originalOut);
    }
    return new ArrayList<>(output.toString(StandardCharsets.UTF_8).lines().toList());
  }
}
