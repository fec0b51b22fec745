package ochretiller.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;

/**
 * One TCP connection. Output is buffered and sent in a single write per event loop round.
 *
 * <p>Confined to the event loop, except for methods documented otherwise.
 */
public final class Connection {
    /**
     * A peer with more unread output than this is disconnected. The limit fits the longest response
     * to each of the requests that a connection may have open.
     */
    private static final long MAX_UNREAD_BYTES = 192 * 1024;

    /** Memory of a write beside its bytes: the request, its future, the buffer and the queue's. */
    private static final int WRITE_OVERHEAD_BYTES = 320;

    /**
     * Interval between checks whether a closing connection can be closed for good. The first check
     * never closes it: two intervals are twice the time that a request may be in transit.
     */
    private static final Duration LINGER_INTERVAL = Duration.ofMillis(100);

    /**
     * Number of {@link #LINGER_INTERVAL}s for which a close waits for a slow peer to read its
     * output; together as long as the longest timeout of clients.
     */
    private static final int MAX_LINGER_INTERVALS = 50;

    private static final int INITIAL_OUTPUT_BYTES = 512;

    private final IoSession session;
    private final Network network;
    private final boolean isLingering;
    private final ByteArrayOutputStream output = new ByteArrayOutputStream(INITIAL_OUTPUT_BYTES);
    private final AtomicInteger queuedBytes = new AtomicInteger();
    private volatile Optional<CloseCode> closeCode = Optional.empty();
    private volatile boolean inputEnded;
    private volatile boolean readingStopped;
    private volatile Optional<Duration> incompleteSince = Optional.empty();
    private Optional<WriteFuture> lastWrite = Optional.empty();
    private Duration lastUsedAt;
    private long sentBytesSeen;

    /**
     * Wraps an open session.
     *
     * @param isLingering whether a close waits until the peer has read its output and closed its
     *     side, as client connections require
     */
    Connection(IoSession session, Network network, boolean isLingering, Duration now) {
        this.session = session;
        this.isLingering = isLingering;
        this.network = network;
        this.lastUsedAt = now;
    }

    /** Returns why the connection is closed or closing; empty while it is open. Any thread. */
    Optional<CloseCode> closeCode() {
        return closeCode;
    }

    /** Records why the connection is closed, unless a reason is already recorded. Any thread. */
    void recordCloseCode(CloseCode reason) {
        if (closeCode.isEmpty()) {
            closeCode = Optional.of(reason);
        }
    }

    /** Returns whether the connection is neither closed nor closing. Any thread. */
    public boolean isOpen() {
        return closeCode.isEmpty();
    }

    /** Returns the peer's address as text, for log lines. Any thread. */
    public String peerAddress() {
        return String.valueOf(session.getRemoteAddress());
    }

    /** Returns the time of the last read or write, measured from the start of the server. */
    public Duration lastUsedAt() {
        return lastUsedAt;
    }

    /** Records a read or write at time {@code now}. */
    public void markUsed(Duration now) {
        lastUsedAt = now;
    }

    /** Buffers text to be sent in ISO 8859-1. Does nothing on a closed connection. */
    public Connection write(String text) {
        return write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Buffers bytes to be sent. Does nothing on a closed connection. */
    public Connection write(byte[] bytes) {
        if (!isOpen()) {
            return this;
        }
        if (output.size() == 0) {
            network.markDirty(this);
        }
        output.write(bytes, 0, bytes.length);
        return this;
    }

    /** Sends the buffered output, or disconnects a peer whose unread output exceeds the limit. */
    void flush() {
        if (!isOpen() || output.size() == 0) {
            return;
        }
        if (session.getScheduledWriteBytes() + output.size() > MAX_UNREAD_BYTES) {
            drop(CloseCode.NOT_READING);
            return;
        }
        lastWrite = Optional.of(session.write(IoBuffer.wrap(output.toByteArray())));
        output.reset();
        if (isLingering) {
            network.unreadOutput().update(this);
        }
    }

    /** Returns the memory, in bytes, of the output that the peer has not read. */
    long unreadMemoryBytes() {
        return session.getScheduledWriteBytes()
                + (long) session.getScheduledWriteMessages() * WRITE_OVERHEAD_BYTES;
    }

    /** Returns whether the peer has taken output since the last call. */
    boolean hasMadeProgress() {
        long before = sentBytesSeen;
        sentBytesSeen = session.getWrittenBytes();
        return sentBytesSeen > before;
    }

    /**
     * Closes the connection after its output has been sent; further input is ignored. A lingering
     * connection first shuts down its output, and is closed when the peer closes its side or the
     * linger time expires.
     *
     * @param reason the code in the log line; ignored if the connection is already closing
     */
    public void close(CloseCode reason) {
        flush();
        if (!isOpen()) {
            return;
        }
        recordCloseCode(reason);
        // Closing a socket with unread input resets the connection, and the peer would lose the
        // responses that it has not read yet.
        if (!isLingering || inputEnded) {
            session.closeOnFlush();
        } else if (lastWrite.isEmpty()) {
            shutDownOutput();
        } else {
            lastWrite.get().addListener(written -> shutDownOutput());
        }
        if (isLingering) {
            scheduleForcedClose(0);
        }
    }

    private void shutDownOutput() {
        if (!HalfClose.shutDownOutput(session)) {
            session.closeNow();
        }
    }

    private void scheduleForcedClose(int earlierChecks) {
        network.runAfter(
                LINGER_INTERVAL,
                () -> {
                    boolean flushed = session.getScheduledWriteBytes() == 0;
                    if (flushed && earlierChecks > 0 || earlierChecks == MAX_LINGER_INTERVALS) {
                        session.closeNow();
                    } else {
                        scheduleForcedClose(earlierChecks + 1);
                    }
                });
    }

    /** Returns whether all output has been sent. */
    public boolean isOutputSent() {
        return output.size() == 0 && session.getScheduledWriteBytes() == 0;
    }

    /** Records that the peer has shut down its output. Called on the I/O thread. */
    void markInputEnded() {
        inputEnded = true;
        if (!isOpen()) {
            session.closeOnFlush();
        }
    }

    /** Stops reading from the peer permanently. Any thread. */
    public void stopReading() {
        readingStopped = true;
        // Never resumed: suspendRead and resumeRead of MINA, called on two threads, can undo each
        // other's effect.
        session.suspendRead();
    }

    /** Returns whether reading was stopped. Any thread. */
    public boolean isReadingStopped() {
        return readingStopped;
    }

    /** Records when the current incomplete message began. Called on the event loop. */
    void incompleteSince(Optional<Duration> since) {
        incompleteSince = since;
    }

    /** Returns when the current incomplete message began; empty between messages. Any thread. */
    public Optional<Duration> incompleteSince() {
        return incompleteSince;
    }

    /** Closes the connection at once and discards unsent output. Any thread. */
    public void drop(CloseCode reason) {
        recordCloseCode(reason);
        session.closeNow();
    }

    /** Returns whether the event loop has processed all input that was read. */
    public boolean isInputProcessed() {
        return queuedBytes.get() == 0;
    }

    /**
     * Changes the number of input bytes that are queued for the event loop. Any thread.
     *
     * @param bytes the bytes that were added; negative if they have been processed
     * @return the number of bytes now queued
     */
    int addQueuedBytes(int bytes) {
        return queuedBytes.addAndGet(bytes);
    }
}
