package org.vaneworks.daemon.entry;

import org.vaneworks.state.HostPort;

/** What became of one sending of a request, as its engine knows it. */
final class AttemptRecord {
  /** How it ended. */
  enum End {
    /** It goes on, or was not read yet. */
    NONE,
    /** The engine answered whole. */
    WHOLE,
    /** The engine did not run it. */
    TURNED_AWAY,
    /** The engine broke off, or ended; its node may not have been told. */
    ENGINE_ENDED,
    /** The engine answered with a failure. */
    ENGINE_FAILED,
    /** The node broke it off, and its engine would have gone on. */
    LET_GO
  }

  private final HostPort engine;
  private final long sentAtMillis;
  private boolean taken;
  private boolean closed;
  private boolean runOver;
  private long closedAtMillis;
  private End end = End.NONE;

  AttemptRecord(HostPort engine, long sentAtMillis) {
    this.engine = engine;
    this.sentAtMillis = sentAtMillis;
  }

  /** Notes that the engine began to work on it. */
  void take() {
    taken = true;
  }

  /** Notes how it ended, unless it had ended before. */
  void end(End how) {
    if (end == End.NONE) {
      end = how;
    }
  }

  /**
   * Notes that the node reads nothing more of it.
   *
   * @param runIsOver whether the run of the engine's process that it was meant for is over
   */
  void close(boolean runIsOver, long atMillis) {
    if (!closed) {
      closedAtMillis = atMillis;
    }
    closed = true;
    runOver |= runIsOver;
    end(End.LET_GO);
  }

  /** Returns whether the engine worked on it. */
  boolean wasTaken() {
    return taken;
  }

  /** Returns whether the node reads nothing more of it. */
  boolean isClosed() {
    return closed || end == End.WHOLE || end == End.TURNED_AWAY || end == End.ENGINE_FAILED;
  }

  /** Returns whether the node read nothing more of it though its engine would have gone on. */
  boolean wasLetGo() {
    return closed && end != End.TURNED_AWAY && !wasEndedByEngine();
  }

  /** Returns whether the node had sent it by then, and still read of it. */
  boolean isUnderWayAt(long millis) {
    return sentAtMillis <= millis && (!closed || closedAtMillis >= millis);
  }

  /** Returns since when the node reads nothing more of it. */
  long closedAtMillis() {
    return closedAtMillis;
  }

  HostPort engine() {
    return engine;
  }

  long sentAtMillis() {
    return sentAtMillis;
  }

  /** Returns whether the engine ended it otherwise than by an answer that is whole. */
  boolean wasEndedByEngine() {
    return runOver || end == End.ENGINE_ENDED || end == End.ENGINE_FAILED;
  }

  End end() {
    return end;
  }

  @Override
  public String toString() {
    return engine
        + " at "
        + sentAtMillis
        + (taken ? " ran " : " ")
        + end
        + (runOver ? " restarted" : "");
  }
}
