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
 * One TCP connection. Writes are buffered and go out once a round of the event loop, in one write.
 *
 * <p>Belongs to the event loop, except for the members that are said to run on the I/O thread.
 */
public final class Connection {
    /**
     * Unread output, in bytes, beyond which a peer is disconnected: the longest answer to each
     * request that it may have open.
     */
    private static final long UNREAD = 192 * 1024;

    /** The same limit while unread output takes much of the server's memory. */
    private static final long SOME_UNREAD = 16 * 1024;

    /**
     * How long a closed connection waits for the peer to close its side: twice the time in which a
     * request may cross the close on its way.
     */
    private static final Duration LINGERS = Duration.ofMillis(100);

    /**
     * How many times {@link #LINGERS} a close waits for a slow peer to read its output: as long as
     * the longest timeouts of clients.
     */
    private static final int SLOW = 50;

    private static final int INITIAL_OUTPUT_BYTES = 512;

    private final IoSession session;
    private final Network network;
    private final boolean lingers;
    private final ByteArrayOutputStream output = new ByteArrayOutputStream(INITIAL_OUTPUT_BYTES);
    private final AtomicInteger queuedBytes = new AtomicInteger();
    private volatile Optional<CloseCode> code = Optional.empty();
    private volatile boolean inputEnded;
    private volatile boolean deaf;
    private volatile Optional<Duration> within = Optional.empty();
    private Optional<WriteFuture> lastWrite = Optional.empty();
    private Duration usedAt;

    /**
     * Wraps an open session.
     *
     * @param lingers whether a close lets a slow peer read its output and waits for the peer's own
     *     close, as connections of clients need
     */
    Connection(IoSession session, Network network, boolean lingers, Duration now) {
        this.session = session;
        this.lingers = lingers;
        this.network = network;
        this.usedAt = now;
    }

    /** Why the connection is closed or closing; empty while it is open. Any thread. */
    Optional<CloseCode> code() {
        return code;
    }

    /** Notes why the connection is closed; the first reason stays. Any thread. */
    void reason(CloseCode reason) {
        if (code.isEmpty()) {
            code = Optional.of(reason);
        }
    }

    /** Whether the connection is neither closed nor closing. Any thread. */
    public boolean open() {
        return code.isEmpty();
    }

    /** The peer's address as text, for log lines. Any thread. */
    public String peer() {
        return String.valueOf(session.getRemoteAddress());
    }

    /** When something was last read or written, since the server's start. */
    public Duration usedAt() {
        return usedAt;
    }

    /** Notes that something was read or written. */
    public void used(Duration now) {
        usedAt = now;
    }

    /** Buffers text to be sent in ISO 8859-1. Does nothing on a closed connection. */
    public Connection write(String text) {
        return write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Buffers bytes to be sent. Does nothing on a closed connection. */
    public Connection write(byte[] bytes) {
        if (!open()) {
            return this;
        }
        if (output.size() == 0) {
            network.dirty(this);
        }
        output.write(bytes, 0, bytes.length);
        return this;
    }

    /** Sends what is buffered, or disconnects a peer that has left too much unread. */
    void flush() {
        if (!open() || output.size() == 0) {
            return;
        }
        long unread = session.getScheduledWriteBytes() + output.size();
        if (unread > UNREAD || unread > SOME_UNREAD && network.crowded()) {
            drop(CloseCode.NOT_READING);
            return;
        }
        lastWrite = Optional.of(session.write(IoBuffer.wrap(output.toByteArray())));
        output.reset();
    }

    /**
     * Closes the connection once its output has gone out. Input is ignored from here on. A
     * connection that lingers shuts down its output first and is closed when the peer has closed
     * its side, or has had time for it.
     *
     * @param reason the code in the log line, unless the connection is closing already
     */
    public void close(CloseCode reason) {
        flush();
        if (!open()) {
            return;
        }
        reason(reason);
        // Closing a socket that has unread input resets the connection, and the peer would lose
        // answers that it has not read.
        if (!lingers || inputEnded) {
            session.closeOnFlush();
        } else if (lastWrite.isEmpty()) {
            shutDownOutput();
        } else {
            lastWrite.get().addListener(written -> shutDownOutput());
        }
        if (lingers) {
            scheduleForcedClose(0);
        }
    }

    private void shutDownOutput() {
        if (!HalfClose.end(session)) {
            session.closeNow();
        }
    }

    private void scheduleForcedClose(int earlierChecks) {
        network.after(
                LINGERS,
                () -> {
                    boolean flushed = session.getScheduledWriteBytes() == 0;
                    if (flushed && earlierChecks > 0 || earlierChecks == SLOW) {
                        session.closeNow();
                    } else {
                        scheduleForcedClose(earlierChecks + 1);
                    }
                });
    }

    /** Whether all output has gone out. */
    public boolean sent() {
        return output.size() == 0 && session.getScheduledWriteBytes() == 0;
    }

    /** The peer has shut down its output. Called on the I/O thread. */
    void inputEnds() {
        inputEnded = true;
        if (!open()) {
            session.closeOnFlush();
        }
    }

    /** Stops reading for good. Any thread. */
    public void deafen() {
        deaf = true;
        // Never resumed: MINA's suspendRead and resumeRead, called by two threads, can undo each
        // other's change.
        session.suspendRead();
    }

    /** Whether reading was stopped. Any thread. */
    public boolean deaf() {
        return deaf;
    }

    /** Notes since when a message has been incomplete. Called on the I/O thread. */
    void within(Optional<Duration> since) {
        within = since;
    }

    /** Since when a message has been incomplete; empty between messages. Any thread. */
    public Optional<Duration> within() {
        return within;
    }

    /** Closes the connection at once; output that has not gone out is lost. Any thread. */
    public void drop(CloseCode reason) {
        reason(reason);
        session.closeNow();
    }

    /** Whether all input that was read has been processed on the event loop. */
    public boolean quiet() {
        return queuedBytes.get() == 0;
    }

    /**
     * Counts input that waits for the event loop. Any thread.
     *
     * @param bytes how many bytes more wait; negative once they are processed
     * @return how many bytes wait now
     */
    int queued(int bytes) {
        return queuedBytes.addAndGet(bytes);
    }
}
