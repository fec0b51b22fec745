package ochretiller.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * All TCP connections of the server, on Apache MINA, with one I/O thread for connections of clients
 * and one for outbound connections. The I/O threads only decode and enqueue; everything else runs
 * on the event loop.
 *
 * <p>Members are called on the event loop, or before it runs.
 */
public final class Network {
    /** Bytes that one read takes at most: a few of the longest messages. */
    private static final int READ = 8 * 1024;

    private static final int FIRST_READ = 4 * 1024;

    /** Part of the server's memory that output may take which clients have not read. */
    private static final int UNREAD_PART = 24;

    /**
     * Part of the server's memory that queued input may take, counted in bytes as read: decoded, it
     * takes about ten times as much.
     */
    private static final int BEHIND_PART = 96;

    private static final int BACKLOG = 1024;
    private static final long CONNECT_MS = 2_000;

    private final Scheduler schedule;
    private final ExecutorService threads = Executors.newCachedThreadPool(Network::daemonThread);
    private final NioProcessor acceptedProcessor = new NioProcessor(threads);
    private final NioProcessor outboundProcessor = new NioProcessor(threads);
    private final NioSocketConnector connector = new NioSocketConnector(threads, outboundProcessor);
    private final AtomicLong queuedBytes = new AtomicLong();
    private final long memory;
    private final Set<Connection> dirty = new LinkedHashSet<>();
    private final Set<InetSocketAddress> unreachable = ConcurrentHashMap.newKeySet();
    private final List<Acceptor> acceptors = new ArrayList<>();

    /**
     * A network that neither listens nor connects yet.
     *
     * @param schedule the event loop
     * @param memory bytes that the server may take; the limits on buffers follow it
     */
    public Network(Scheduler schedule, long memory) {
        this.schedule = schedule;
        this.memory = memory;
        configure(connector.getSessionConfig());
        connector.setConnectTimeoutMillis(CONNECT_MS);
        connector.setHandler(new OutboundSessionHandler(this, schedule));
    }

    private static Thread daemonThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    private static void configure(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setMaxReadBufferSize(READ);
        config.setReadBufferSize(FIRST_READ);
    }

    /**
     * Listens on one more address.
     *
     * @param kind what the connections are for, in log lines
     * @param address where to listen
     * @param receivers makes the protocol handler of each accepted connection, on the I/O thread
     * @throws IOException where the address is in use or not one of this machine
     */
    public void listen(
            String kind,
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> receivers)
            throws IOException {
        Acceptor acceptor = new Acceptor(threads, acceptedProcessor);
        acceptors.add(acceptor);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        configure(acceptor.getSessionConfig());
        acceptor.setHandler(new AcceptedSessionHandler(this, schedule, kind, receivers));
        try {
            acceptor.bind(address);
        } catch (IOException e) {
            throw new IOException(
                    "cannot listen on " + address + ": it is in use or not this machine's", e);
        }
    }

    /** Closes the listeners; connections that are open stay. */
    public void closeListeners() {
        for (Acceptor acceptor : acceptors) {
            acceptor.setCloseOnDeactivation(false);
            acceptor.unbind();
        }
    }

    /**
     * Connects to a peer whose connections are logged as {@code link}; otherwise as {@link
     * #connect(String, InetSocketAddress, Function, Runnable)}.
     */
    public void connect(
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> receivers,
            Runnable failed) {
        connect("link", address, receivers, failed);
    }

    /**
     * Connects to a peer.
     *
     * @param kind what the connection is for, in log lines
     * @param address the peer's address
     * @param receivers makes the protocol handler once connected, on the I/O thread
     * @param failed run on the event loop where the connection could not be established
     */
    public void connect(
            String kind,
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> receivers,
            Runnable failed) {
        ConnectFuture connecting =
                connector.connect(
                        address,
                        (session, future) ->
                                OutboundSessionHandler.initialize(session, kind, receivers));
        connecting.addListener(
                (IoFutureListener<ConnectFuture>)
                        future -> connected(future.isConnected(), kind, address, failed));
    }

    private void connected(
            boolean succeeded, String kind, InetSocketAddress address, Runnable failed) {
        if (succeeded) {
            unreachable.remove(address);
            return;
        }
        // One log line for a series of failures: connects to a peer that is down are retried.
        if (unreachable.add(address)) {
            SessionHandler.logEnd(kind, address, CloseCode.REFUSED);
        }
        schedule.post(failed);
    }

    /** Runs work on the event loop after a delay. */
    void after(Duration span, Runnable work) {
        schedule.after(span, work);
    }

    /** Notes that a connection has output for the next {@link #flush}. */
    void dirty(Connection connection) {
        dirty.add(connection);
    }

    /** Whether output that clients have not read takes its part of the memory. */
    boolean crowded() {
        long unread = 0;
        for (Acceptor acceptor : acceptors) {
            unread += acceptor.getScheduledWriteBytes();
        }
        return unread > memory / UNREAD_PART;
    }

    /**
     * Counts input of all connections that waits for the event loop. Any thread.
     *
     * @param bytes how many bytes more wait; negative once they are processed
     * @return how many bytes wait now
     */
    long countQueued(int bytes) {
        return queuedBytes.addAndGet(bytes);
    }

    /** Whether this much queued input takes its part of the memory. Any thread. */
    boolean isQueueLong(long queued) {
        return queued > memory / BEHIND_PART;
    }

    /** Sends what a round of the event loop has written, in one write for each connection. */
    public void flush() {
        if (dirty.isEmpty()) {
            return;
        }
        List<Connection> written = new ArrayList<>(dirty);
        dirty.clear();
        written.forEach(Connection::flush);
    }

    /** Closes all connections and ends the I/O threads; output that has not gone out is lost. */
    public void stop() {
        acceptors.forEach(acceptor -> acceptor.dispose(false));
        connector.dispose(false);
        threads.shutdown();
    }
}
