package org.vaneworks.cli;

import java.util.Locale;
import java.util.concurrent.Callable;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Verdict;
import org.vaneworks.telemetry.Event;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the meaning of a verdict, a reason or a log event. */
@Command(name = "explain", description = "Says what a verdict, reason or log event means.")
final class ExplainCommand implements Callable<Integer> {
  @Parameters(paramLabel = "CODE", description = "For example NOT_RUN, queue-full or VW1001.")
  private String code;

  @Override
  public Integer call() {
    System.out.println(explain());
    return ExitCodes.OK;
  }

  private String explain() {
    for (Event event : Event.values()) {
      if (event.code().equalsIgnoreCase(code)) {
        return event.code() + " " + event.name() + ": " + event.text();
      }
    }
    String name = code.toUpperCase(Locale.ROOT).replace('-', '_');
    for (Reason reason : Reason.values()) {
      if (reason.name().equals(name)) {
        return reason.code() + ": HTTP " + reason.status() + ", " + reason.text();
      }
    }
    for (Verdict verdict : Verdict.values()) {
      if (verdict.name().equals(name)) {
        return verdict + ": " + meaning(verdict);
      }
    }
    throw new IllegalArgumentException(code + " is no verdict, reason or event");
  }

  private static String meaning(Verdict verdict) {
    return switch (verdict) {
      case NOT_RUN -> "no part of the request ran; it is safe to send it again";
      case MAY_HAVE_RUN -> "some part may have run; don't send it again if it must not run twice";
      case RAN -> "some part ran; don't send it again if it must not run twice";
    };
  }
}
