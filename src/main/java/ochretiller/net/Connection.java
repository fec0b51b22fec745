package ochretiller.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;

/**
 * A connection as the one thread sees it: what is written in one gathering goes out in one write.
 */
public final class Connection {
    /**
     * Bytes that may wait for one peer to read them: the longest answer to each request it may have
     * open.
     */
    private static final long UNREAD = 192 * 1024;

    /** What each may have of the bound on all, whatever the others do. */
    private static final long SOME_UNREAD = 16 * 1024;

    /**
     * Time for a peer to see the end of what it is sent and to end its side: twice what may cross a
     * close by the protocol.
     */
    private static final Duration LINGERS = Duration.ofMillis(100);

    /**
     * So many of these at most until a slow peer has been sent all: as long as the longest client
     * timeouts are.
     */
    private static final int SLOW = 50;

    private final IoSession session;
    private final Network network;

    /** Whether a close has to leave a slow or crossing peer its answers: so it is with callers. */
    private final boolean lingers;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream(512);
    private final AtomicInteger behind = new AtomicInteger();
    private volatile CloseCode code;
    private volatile boolean inputEnded;
    private volatile boolean deaf;

    /** Since when a message is not whole; null where none is begun. */
    private volatile Duration within;

    private WriteFuture lastWrite;
    private Duration usedAt;

    Connection(IoSession session, Network network, boolean lingers, Duration now) {
        this.session = session;
        this.lingers = lingers;
        this.network = network;
        this.usedAt = now;
    }

    /** Why it ends; null while it is open. The first reason stays. */
    CloseCode code() {
        return code;
    }

    void reason(CloseCode reason) {
        if (code == null) {
            code = reason;
        }
    }

    public boolean open() {
        return code == null;
    }

    public String peer() {
        return String.valueOf(session.getRemoteAddress());
    }

    /** When something was last read or written. */
    public Duration usedAt() {
        return usedAt;
    }

    public void used(Duration now) {
        usedAt = now;
    }

    public Connection write(String text) {
        return write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public Connection write(byte[] bytes) {
        if (code != null) {
            return this;
        }
        if (out.size() == 0) {
            network.dirty(this);
        }
        out.write(bytes, 0, bytes.length);
        return this;
    }

    void flush() {
        if (code != null || out.size() == 0) {
            return;
        }
        // Guards against a peer that does not read and would fill the memory.
        long unread = session.getScheduledWriteBytes() + out.size();
        if (unread > UNREAD || unread > SOME_UNREAD && network.crowded()) {
            reason(CloseCode.NOT_READING);
            session.closeNow();
            return;
        }
        lastWrite = session.write(IoBuffer.wrap(out.toByteArray()));
        out.reset();
    }

    /**
     * On the one thread: ends it once all that was written has gone out. What comes from here on is
     * passed over; a caller gets the end of the output first and is read until it ends its side
     * too.
     */
    public void close(CloseCode reason) {
        flush();
        if (code != null) {
            return;
        }
        reason(reason);
        // Guards against a close over unread bytes: it resets the connection, and the peer loses
        // answers it has not read.
        if (!lingers || inputEnded) {
            session.closeOnFlush();
        } else if (lastWrite == null) {
            endOutput();
        } else {
            lastWrite.addListener(written -> endOutput());
        }
        if (lingers) {
            patience(0);
        }
    }

    private void endOutput() {
        if (!HalfClose.end(session)) {
            session.closeNow();
        }
    }

    private void patience(int looked) {
        network.after(
                LINGERS,
                () -> {
                    if (session.getScheduledWriteBytes() == 0 && looked > 0 || looked == SLOW) {
                        session.closeNow();
                    } else {
                        patience(looked + 1);
                    }
                });
    }

    /** All that was written has gone out. */
    public boolean sent() {
        return out.size() == 0 && session.getScheduledWriteBytes() == 0;
    }

    /** On the network's thread: the peer sends no more. */
    void inputEnds() {
        inputEnded = true;
        if (code != null) {
            session.closeOnFlush();
        }
    }

    /** On the network's thread: nothing more is read, and what the peer sends stays with it. */
    public void deafen() {
        deaf = true;
        session.suspendRead(); // never resumed: MINA's two words for it lose each other's changes
    }

    /** Whether nothing more is read. */
    public boolean deaf() {
        return deaf;
    }

    void within(Duration since) {
        within = since;
    }

    /** Since when a message is not whole; null where none is begun. */
    public Duration within() {
        return within;
    }

    /** Ends it at once. */
    public void drop(CloseCode reason) {
        reason(reason);
        session.closeNow();
    }

    /** Nothing that was read waits for the one thread. */
    public boolean quiet() {
        return behind.get() == 0;
    }

    /** So many bytes more wait, or less; tells how many do. */
    int queued(int bytes) {
        return behind.addAndGet(bytes);
    }
}
