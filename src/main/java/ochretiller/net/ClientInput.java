package ochretiller.net;

import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import ochretiller.text.BadInputException;
import org.apache.mina.core.session.IoSession;

/**
 * The input of one client connection. What was read waits as bytes, and the event loop decodes it
 * in turns: each turn ends after a few messages, and the connection queues up behind all others for
 * the next. While {@link InputLimits#MAX_WAITING_READS} reads wait, nothing more is read, and TCP
 * slows the client down. A client that is slowed down for long by other input than accepted
 * requests is a flood.
 *
 * <p>{@link #add} and {@link #end} are called on the I/O thread; everything else runs on the event
 * loop.
 */
final class ClientInput {
    /** Bytes that are decoded at once. */
    private static final int SLICE_BYTES = 256;

    /**
     * Slices that complete messages, after which a turn ends: as many messages of usual length, or
     * some more short ones.
     */
    private static final int COMPLETED_SLICES_PER_TURN = 4;

    /**
     * Input beside accepted requests that a connection may send without a pause: as many requests
     * of maximum length as a connection may have open.
     */
    private static final int MAX_BYTES_BEHIND = 128 * 1024;

    /** How long a connection may be behind with more than {@link #MAX_BYTES_BEHIND}. */
    private static final Duration MAX_TIME_BEHIND = Duration.ofSeconds(1);

    /** Stands for the end of the input in the queue of reads. */
    private static final byte[] END = {};

    private final IoSession session;
    private final Connection connection;
    private final ConnectionHandler handler;
    private final AcceptedSessionHandler events;
    private final Scheduler scheduler;
    private final HeldInput heldInput;
    private final Queue<byte[]> reads = new ConcurrentLinkedQueue<>();

    /** Guarded by this, like the two fields after it: shared with the I/O thread. */
    private int waitingReads;

    private boolean isSuspended;
    private boolean hasEnded;

    /** The first byte of the oldest read that is not decoded. */
    private int position;

    /** Whether reads wait, and so a turn is or will be posted. */
    private boolean hasWaitingReads;

    /** Bytes decoded since the last message was complete. */
    private long undecidedBytes;

    /** Bytes beside accepted requests that were decoded since no read waited. */
    private long bytesBehind;

    private Duration behindSince = Duration.ZERO;

    ClientInput(
            IoSession session,
            Connection connection,
            ConnectionHandler handler,
            AcceptedSessionHandler events,
            HeldInput heldInput) {
        this.session = session;
        this.connection = connection;
        this.handler = handler;
        this.events = events;
        this.scheduler = events.scheduler;
        this.heldInput = heldInput;
    }

    /** Adds a read, and stops reading while too many wait. */
    void add(byte[] bytes) {
        enqueue(bytes);
        suspendIfFull();
    }

    /** Adds the end of the input. */
    void end() {
        synchronized (this) {
            hasEnded = true;
            session.suspendRead(); // else the selector would report the end of input repeatedly
        }
        enqueue(END);
    }

    private void enqueue(byte[] read) {
        reads.add(read);
        connection.addQueuedBytes(read.length); // nothing for the end: no request is lost with it
        boolean isFirst;
        synchronized (this) {
            waitingReads++;
            isFirst = waitingReads == 1;
        }
        if (isFirst) {
            scheduler.post(this::takeTurn);
        }
    }

    private synchronized void suspendIfFull() {
        if (waitingReads >= InputLimits.MAX_WAITING_READS) {
            isSuspended = true;
            session.suspendRead();
        }
    }

    /** Removes the oldest read, and resumes reading. */
    private void removeRead() {
        byte[] removed = reads.remove();
        position = 0;
        connection.addQueuedBytes(-removed.length);
        synchronized (this) {
            waitingReads--;
            hasWaitingReads = waitingReads > 0;
            if (isSuspended && !hasEnded && !connection.isReadingStopped()) {
                isSuspended = false;
                session.resumeRead();
            }
        }
    }

    private void takeTurn() {
        hasWaitingReads = true;
        try {
            int completed = 0;
            while (hasWaitingReads && completed < COMPLETED_SLICES_PER_TURN) {
                completed += processSlice() ? 1 : 0;
            }
        } finally {
            if (hasWaitingReads) {
                scheduler.post(this::takeTurn); // also if a message caused an exception
            }
        }
    }

    /** Processes some input; returns whether messages were completed by it. */
    private boolean processSlice() {
        byte[] read = reads.element();
        if (!connection.isOpen() || connection.isReadingStopped()) {
            heldInput.remove(this);
            removeRead(); // ignored, but the I/O thread still notices the end of the input
            return false;
        }
        if (read == END) {
            removeRead();
            handler.onInputEnded();
            return true;
        }
        connection.markUsed(scheduler.now());
        Optional<Runnable> work = decodeSlice(read);
        if (position == read.length) {
            removeRead();
        }
        work.ifPresent(Runnable::run);
        countBehind(work.isPresent());
        checkRate();
        heldInput.update(this, handler.heldInputBytes(), work.isPresent());
        heldInput.closeExcess();
        return work.isPresent();
    }

    private Optional<Runnable> decodeSlice(byte[] read) {
        int from = position;
        position = Math.min(from + SLICE_BYTES, read.length);
        undecidedBytes += position - from;
        Optional<Runnable> work = Optional.empty();
        try {
            work = Optional.ofNullable(handler.decode(read, from, position));
        } catch (BadInputException e) {
            events.onBadInput(session, e);
            disconnect(CloseCode.BAD_INPUT);
        }
        updateIncompleteSince(work.isPresent());
        return work;
    }

    /** Counts the bytes of messages, unless they include an accepted request. */
    private void countBehind(boolean hasCompletedMessage) {
        boolean isAccepted = handler.takeAcceptedRequest();
        if (bytesBehind == 0) {
            behindSince = scheduler.now();
        }
        if (hasCompletedMessage) {
            bytesBehind += isAccepted ? 0 : undecidedBytes;
            undecidedBytes = 0;
        }
    }

    /** The age of an incomplete message counts from the read that completed the one before. */
    private void updateIncompleteSince(boolean hasCompletedMessage) {
        if (!handler.hasPartialMessage()) {
            connection.incompleteSince(Optional.empty());
        } else if (connection.incompleteSince().isEmpty() || hasCompletedMessage) {
            connection.incompleteSince(Optional.of(scheduler.now()));
        }
    }

    /**
     * Returns the memory, in bytes, that the connection holds for input which is no request yet.
     */
    long heldBytes() {
        return handler.heldInputBytes();
    }

    /** Closes a connection that has sent more than it may, and still sends faster than is read. */
    private void checkRate() {
        if (!hasWaitingReads) {
            bytesBehind = 0;
        } else if (bytesBehind > MAX_BYTES_BEHIND
                && scheduler.now().minus(behindSince).compareTo(MAX_TIME_BEHIND) >= 0
                && !connection.isReadingStopped()) {
            disconnect(CloseCode.FLOOD);
        }
    }

    /** Stops reading, and has the connection closed when what was decoded is answered. */
    void disconnect(CloseCode code) {
        handler.discardInput();
        heldInput.remove(this);
        connection.incompleteSince(Optional.empty());
        events.disconnect(connection, handler, code);
    }

    /** Releases what the connection holds, when it has been closed. */
    void release() {
        heldInput.remove(this);
    }
}
