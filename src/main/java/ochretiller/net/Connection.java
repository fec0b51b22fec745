package ochretiller.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;

/** A connection as the one thread sees it: what is written in one gathering goes out in one write. */
public final class Connection {
    /** Bytes that may wait for one peer to read them: the longest answer to each request it may have open. */
    private static final long UNREAD = 192 * 1024;
    /** What each may have of the bound on all, whatever the others do. */
    private static final long SOME_UNREAD = 16 * 1024;

    private final IoSession session;
    private final Network network;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream(512);
    private final AtomicInteger behind = new AtomicInteger();
    private volatile CloseCode code;
    private Duration usedAt;

    Connection(IoSession session, Network network, Duration now) {
        this.session = session;
        this.network = network;
        this.usedAt = now;
    }

    /** Why it ends; null while it is open. The first reason stays. */
    CloseCode code() {
        return code;
    }

    void reason(CloseCode reason) {
        if (code == null) code = reason;
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
        if (code != null) return this;
        if (out.size() == 0) network.dirty(this);
        out.write(bytes, 0, bytes.length);
        return this;
    }

    void flush() {
        if (code != null || out.size() == 0) return;
        // Guards against a peer that does not read and would fill the memory.
        long unread = session.getScheduledWriteBytes() + out.size();
        if (unread > UNREAD || unread > SOME_UNREAD && network.crowded()) {
            reason(CloseCode.NOT_READING);
            session.closeNow();
            return;
        }
        session.write(IoBuffer.wrap(out.toByteArray()));
        out.reset();
    }

    /** Ends it once all that was written has gone out. */
    public void close(CloseCode reason) {
        flush();
        reason(reason);
        session.closeOnFlush();
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
