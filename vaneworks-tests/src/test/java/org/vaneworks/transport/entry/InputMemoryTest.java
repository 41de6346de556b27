package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.servicetalk.transport.netty.internal.ByteToMessageDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests how connections share a budget for what they hold of heads, with embedded channels. */
final class InputMemoryTest {
  private static final String LINE = "a:\r\n";

  /** As many as a small head has. */
  private static final int LINES = 150;

  private static final int MAX_HEAD_BYTES = 1 << 20;

  /** The memory of a connection that holds the lines. */
  private static final int CALLER_BYTES =
      InputMemory.CONNECTION_BYTES + LINES * (LINE.length() + InputMemory.LINE_BYTES);

  private static final int CALLERS = 5;

  private long nowNanos;

  // Heads may exceed the limit by an eighth.
  private final MemoryBudget budget =
      MemoryBudget.of(
          CALLERS * CALLER_BYTES * 8 / 9 + 1,
          () -> 0,
          unit -> unit.convert(nowNanos, TimeUnit.NANOSECONDS));

  /** A caller that sends lines of a head; its channel is closed by a task, as Netty does. */
  private final class Caller implements InputMemory.Owner {
    private final EmbeddedChannel channel =
        new EmbeddedChannel(new UnfinishedHead(), new ChannelInboundHandlerAdapter());
    private boolean refused;
    private boolean givenUp;

    private Caller() {
      InputMemory.install(channel, budget, () -> MAX_HEAD_BYTES, () -> MAX_HEAD_BYTES, this);
    }

    private Caller sendLines() {
      ByteBuf lines = Unpooled.copiedBuffer(LINE.repeat(LINES), US_ASCII);
      channel.pipeline().fireChannelRead(lines);
      return this;
    }

    private void awaitClosed() {
      var unused = channel.close();
    }

    @Override
    public void memoryExhausted() {
      refused = true;
    }

    @Override
    public boolean isWaiting() {
      return true;
    }

    @Override
    public boolean isEnding() {
      return false;
    }

    @Override
    public void stalled() {
      givenUp = true;
    }

    @Override
    public void givenUpAtRest() {
      throw new IllegalStateException("at rest");
    }

    @Override
    public void linesTooLong() {
      throw new IllegalStateException("too long");
    }
  }

  /** Decodes a head that has no end. */
  private static final class UnfinishedHead extends ByteToMessageDecoder {
    private UnfinishedHead() {
      super(UnpooledByteBufAllocator.DEFAULT);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input) {
      input.skipBytes(input.readableBytes());
    }
  }

  // Guards against a heap that is exhausted because, in one batch of events, connection after
  // connection is closed to make room, while none of them is gone yet.
  @Test
  void closedConnectionsAreGoneBeforeManyMoreAreClosed() {
    List<Caller> stalled = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      stalled.add(new Caller().sendLines());
    }
    assertTrue(stalled.stream().noneMatch(caller -> caller.refused));
    nowNanos += PendingInput.MAX_PAUSE.toNanos();

    assertFalse(new Caller().sendLines().refused);
    Caller refused = new Caller().sendLines();
    assertTrue(refused.refused);
    assertEquals(1, stalled.stream().filter(caller -> caller.givenUp).count());

    stalled.get(0).awaitClosed();
    refused.awaitClosed();
    assertFalse(new Caller().sendLines().refused);
    assertEquals(2, stalled.stream().filter(caller -> caller.givenUp).count());
  }
}
