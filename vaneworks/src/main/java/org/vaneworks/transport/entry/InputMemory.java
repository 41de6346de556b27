package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HeaderUtils;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpMetaData;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.vaneworks.transport.UndecodedInputLimit;

/**
 * Counts what a connection holds of its client's input besides bodies, before it is decoded: heads,
 * also of requests that wait for the one before, chunk sizes, chunk extensions and trailers.
 *
 * <p>A decoded line takes more memory than its bytes, so lines are counted as well. Input is passed
 * to the decoder in small parts, and each is counted before. Once the input is refused, the rest of
 * it is dropped. Confined to the event loop of its connection.
 */
final class InputMemory {
  /** What to do when the input is refused; called once. */
  interface Owner {
    /** There is no memory for more input. */
    void memoryExhausted();

    /** Returns whether the connection waits for a head, and has delivered its last response. */
    boolean isWaiting();

    /**
     * Returns whether the connection has delivered its last response, and does not close by itself.
     */
    boolean isEnding();

    /** The client has stopped within a head, and memory is short. */
    void stalled();

    /** The connection rests, and memory is short; it may go on if input has arrived already. */
    void givenUpAtRest();

    /** A head, chunk extensions or trailers are too long. */
    void linesTooLong();
  }

  /** Memory of a decoded header field besides its bytes, and of the copy sent to an endpoint. */
  static final int LINE_BYTES = 192;

  /** Memory of a connection without a request. */
  static final int CONNECTION_BYTES = 8 << 10;

  /** Memory of a request besides its head and its body. */
  static final int REQUEST_BYTES = 4 << 10;

  private static final String INPUT_HANDLER_NAME = "counted-input";
  private static final String MESSAGE_HANDLER_NAME = "counted-messages";

  /** Maximum size of a part that is counted and then decoded. */
  static final int PART_BYTES = 1 << 10;

  private final MemoryBudget budget;
  private final IntSupplier maxHeadBytes;
  private final IntSupplier maxTrailerBytes;
  private final Owner owner;

  /** Present while the connection waits for a head. */
  private Optional<PendingInput> pending = Optional.empty();

  /** The request whose input has not ended. */
  private Optional<MemoryLease> current = Optional.empty();

  /** The memory of each head that was decoded and whose request has not started yet. */
  private final Deque<Long> waitingHeads = new ArrayDeque<>();

  private long waitingHeadBytes;

  /** The memory of input that is neither a whole head nor a part of a body. */
  private long undecodedMemory;

  private long undecodedBytes;

  /** The rest of a body of stated length, whose memory is counted with its request. */
  private long bodyBytes;

  /** What the connection holds after it was given up to make room, until the channel is gone. */
  private long closingBytes;

  /** Whether the memory of the connection was returned, which is closed unless input follows. */
  private boolean givenUpAtRest;

  /** Whether input is being decoded; its client has not stalled then. */
  private boolean decoding;

  private boolean afterHead;
  private boolean refused;
  private boolean closed;

  private InputMemory(
      MemoryBudget budget, IntSupplier maxHeadBytes, IntSupplier maxTrailerBytes, Owner owner) {
    this.budget = checkNotNull(budget);
    this.maxHeadBytes = checkNotNull(maxHeadBytes);
    this.maxTrailerBytes = checkNotNull(maxTrailerBytes);
    this.owner = checkNotNull(owner);
  }

  /**
   * Adds a counter to the pipeline of a connection that was just accepted.
   *
   * @param maxHeadBytes returns the maximum length of a head
   * @param maxTrailerBytes returns the maximum length of trailers, and of chunk extensions
   */
  static void install(
      Channel channel,
      MemoryBudget budget,
      IntSupplier maxHeadBytes,
      IntSupplier maxTrailerBytes,
      Owner owner) {
    InputMemory memory = new InputMemory(budget, maxHeadBytes, maxTrailerBytes, owner);
    ChannelPipeline pipeline = channel.pipeline();
    // Placed before ServiceTalk's last handler, which receives what was decoded. The last name in
    // the list is the pipeline's tail.
    String last = pipeline.names().get(pipeline.names().size() - 2);
    pipeline.addBefore(last, MESSAGE_HANDLER_NAME, memory.new MessageHandler());
    pipeline.addBefore(
        UndecodedInputLimit.decoderName(pipeline), INPUT_HANDLER_NAME, memory.new InputHandler());
    if (!channel.isActive()) {
      memory.closed = true; // No event will tell of it.
      memory.refused = true;
      return;
    }
    boolean room = budget.hasRoomForHead(CONNECTION_BYTES, CONNECTION_BYTES);
    budget.addInput(CONNECTION_BYTES);
    if (room) {
      memory.awaitRequest();
    } else {
      memory.refused = true;
      owner.memoryExhausted();
    }
  }

  /** Returns the counter of a connection that has one. */
  static InputMemory of(Channel channel) {
    return ((InputHandler) channel.pipeline().get(INPUT_HANDLER_NAME)).memory();
  }

  /**
   * Starts the request of the oldest head that waits. The lease accounts for the head from now on,
   * and is not released before the input of the request has ended.
   */
  void startRequest(MemoryLease lease) {
    stopAwaiting();
    budget.addInput(REQUEST_BYTES);
    lease.adoptHead(takeHead() + REQUEST_BYTES);
    endCurrent();
    if (afterHead && !closed) {
      lease.retain();
      current = Optional.of(lease);
    }
  }

  /** Records that the connection waits for the next request. */
  void awaitRequest() {
    if (pending.isEmpty() && !closed) {
      PendingInput next =
          new PendingInput(
              budget.clock(),
              () -> undecodedBytes,
              () -> !decoding && owner.isWaiting(),
              owner::isEnding,
              () -> undecodedMemory + waitingHeadBytes + CONNECTION_BYTES,
              this::stalled);
      pending = Optional.of(next);
      budget.addPending(next);
    }
  }

  /** Drops the input that has not been decoded yet. */
  void dropRest() {
    refused = true;
  }

  private void stalled() {
    if (isAtRest() && !owner.isEnding()) {
      giveUpAtRest();
    } else {
      owner.stalled();
      giveUp();
    }
  }

  private boolean isAtRest() {
    return undecodedMemory == 0 && waitingHeads.isEmpty();
  }

  /** Returns the memory of a connection at once; a request that has arrived is read first. */
  private void giveUpAtRest() {
    stopAwaiting();
    givenUpAtRest = true;
    budget.addInput(-CONNECTION_BYTES);
    addClosing(CONNECTION_BYTES);
    owner.givenUpAtRest();
  }

  /** Ends the rest of a connection whose next head begins; its age counts from now on. */
  private void endRest() {
    if (givenUpAtRest) {
      givenUpAtRest = false;
      budget.addInput(CONNECTION_BYTES);
      addClosing(-CONNECTION_BYTES);
    }
    if (owner.isWaiting() && !afterHead) {
      stopAwaiting();
      awaitRequest();
    }
  }

  /**
   * Drops the input and returns its memory at once, as the connection is closed; the channel tells
   * of that in a later task, and the decoder holds what it has decoded until then.
   */
  void giveUp() {
    refused = true;
    if (!closed) {
      closed = true;
      addClosing(undecodedMemory + waitingHeadBytes + connectionBytes());
      releaseAll();
    }
  }

  private void closed() {
    giveUp();
    addClosing(-closingBytes);
  }

  private void addClosing(long bytes) {
    closingBytes += bytes;
    budget.addClosing(bytes);
  }

  /** Returns what the budget counts for the connection itself. */
  private int connectionBytes() {
    return givenUpAtRest ? 0 : CONNECTION_BYTES;
  }

  /** Returns whether the heads of requests were decoded that have not been started yet. */
  boolean hasWaitingRequests() {
    return !waitingHeads.isEmpty();
  }

  /** Returns whether input is being decoded. */
  boolean isDecoding() {
    return decoding;
  }

  /** Returns whether the input of the last request has not ended. */
  boolean isWithinBody() {
    return afterHead;
  }

  /** Returns whether a part of a body of stated length has not arrived. */
  boolean isWithinStatedBody() {
    return bodyBytes > 0;
  }

  private void stopAwaiting() {
    pending.ifPresent(budget::removePending);
    pending = Optional.empty();
  }

  private long takeHead() {
    long head = Optional.ofNullable(waitingHeads.poll()).orElse(0L);
    waitingHeadBytes -= head;
    return head;
  }

  private void endCurrent() {
    Optional<MemoryLease> ended = current;
    current = Optional.empty();
    ended.ifPresent(MemoryLease::release);
  }

  /** Records that the input of the request in progress has ended. */
  void endRequest() {
    afterHead = false;
    releaseUndecoded();
    undecodedBytes = 0;
    endCurrent();
  }

  private void recordMessage(Object message) {
    if (message instanceof HttpMetaData head) {
      waitingHeads.add(undecodedMemory);
      waitingHeadBytes += undecodedMemory;
      undecodedMemory = 0;
      undecodedBytes = 0;
      boolean chunked = HeaderUtils.isTransferEncodingChunked(head.headers());
      bodyBytes = chunked ? 0 : statedLength(head);
      afterHead = chunked || bodyBytes > 0;
    } else if (message instanceof Buffer part && part.readableBytes() > 0) {
      boolean last = bodyBytes > 0 && bodyBytes <= part.readableBytes();
      bodyBytes = Math.max(0, bodyBytes - part.readableBytes());
      releaseUndecoded();
      undecodedBytes = 0;
      if (last) {
        endRequest();
      }
    }
  }

  private static long statedLength(HttpMetaData head) {
    CharSequence length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH, "0");
    // The decoder has checked it.
    return Optional.ofNullable(Longs.tryParse(length.toString().trim())).orElse(0L);
  }

  private void releaseUndecoded() {
    budget.addInput(-undecodedMemory);
    undecodedMemory = 0;
  }

  private void releaseAll() {
    stopAwaiting();
    releaseUndecoded();
    endCurrent();
    budget.addInput(-waitingHeadBytes - connectionBytes());
    waitingHeads.clear();
    waitingHeadBytes = 0;
  }

  /** Counts parts of the input before they are decoded. */
  private final class InputHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (!(message instanceof ByteBuf input)) {
        super.channelRead(context, message);
        return;
      }
      decoding = true;
      try {
        if (!refused && isAtRest()) {
          endRest();
        }
        while (input.isReadable() && !refused) {
          decodePart(context, input);
        }
      } finally {
        decoding = false;
        ReferenceCountUtil.release(input);
      }
    }

    private void decodePart(ChannelHandlerContext context, ByteBuf input) throws Exception {
      if (bodyBytes > 0) {
        int length = (int) Math.min(bodyBytes, input.readableBytes());
        super.channelRead(context, input.readRetainedSlice(length));
        return;
      }
      int length = Math.min(PART_BYTES, input.readableBytes());
      long memory = length + (long) LINE_BYTES * lines(input, length);
      long total = undecodedMemory + waitingHeadBytes + memory;
      boolean room =
          afterHead ? budget.hasRoom(memory, total) : budget.hasRoomForHead(memory, total);
      if (refused) {
        return; // This connection was closed to make room.
      }
      if (!room) {
        refused = true;
        owner.memoryExhausted();
        return;
      }
      budget.addInput(memory);
      undecodedMemory += memory;
      undecodedBytes += length;
      super.channelRead(context, readPart(input, length));
      int limit = (afterHead ? maxTrailerBytes : maxHeadBytes).getAsInt();
      if (undecodedBytes > limit && !refused) {
        refused = true;
        owner.linesTooLong();
      }
    }

    /**
     * Reads a part of a head. The fields of a head refer to the buffer from which they are decoded,
     * so it must not hold more of the input, such as the body.
     */
    private static ByteBuf readPart(ByteBuf input, int length) {
      if (input.capacity() <= PART_BYTES) {
        return input.readRetainedSlice(length);
      }
      ByteBuf part = input.copy(input.readerIndex(), length);
      input.skipBytes(length);
      return part;
    }

    private static int lines(ByteBuf input, int length) {
      int lines = 0;
      int end = input.readerIndex() + length;
      for (int at = input.readerIndex(); at < end; at++) {
        lines += input.getByte(at) == '\n' ? 1 : 0;
      }
      return lines;
    }

    private InputMemory memory() {
      return InputMemory.this;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
      pending.ifPresent(PendingInput::recordRead);
      super.channelReadComplete(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      closed();
      super.channelInactive(context);
    }
  }

  /** Notices which input has been decoded. */
  private final class MessageHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      recordMessage(message);
      super.channelRead(context, message);
    }
  }
}
