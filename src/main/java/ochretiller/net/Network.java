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
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import ochretiller.text.BadInputException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * Apache MINA with an IO processor for gateways and one for links. Its threads decode and enqueue;
 * all else is the schedule's.
 */
public final class Network {
    private static final Logger LOG = Logger.getLogger(Network.class.getName());

    /** Bytes read at once: a few of the longest messages. */
    private static final int READ = 8 * 1024;

    private static final int FIRST_READ = 4 * 1024;

    /** Buffers of links that may wait for the one thread: a few times what a burst brings. */
    private static final int BEHIND = 256;

    /**
     * Bytes of one gateway's connection that may wait: as many requests of full length as it may
     * have open.
     */
    private static final int MOST_BEHIND = 128 * 1024;

    /** What each may have of the bound on all, whatever the others do. */
    private static final int SOME_BEHIND = 8 * 1024;

    /**
     * Parts of the memory for what peers have not read, and for what was read: decoded it takes ten
     * times its bytes.
     */
    private static final int UNREAD_PART = 24;

    private static final int BEHIND_PART = 96;
    private static final int BACKLOG = 1024;
    private static final long CONNECT_MS = 2_000;
    private static final String KIND = "kind";

    private final Scheduler schedule;
    private final ExecutorService threads = Executors.newCachedThreadPool(Network::thread);
    private final NioProcessor gateways = new NioProcessor(threads);
    private final NioProcessor links = new NioProcessor(threads);
    private final NioSocketConnector connector = new NioSocketConnector(threads, links);
    private final Semaphore behind = new Semaphore(BEHIND);
    private final AtomicLong allBehind = new AtomicLong();
    private final long memory;
    private final Set<Connection> dirty = new LinkedHashSet<>();
    private final Set<InetSocketAddress> refusing = ConcurrentHashMap.newKeySet();
    private final List<Acceptor> acceptors = new ArrayList<>();

    /**
     * Neither listens nor connects yet.
     *
     * @param memory bytes that the server may take; what waits follows it
     */
    public Network(Scheduler schedule, long memory) {
        this.schedule = schedule;
        this.memory = memory;
        tune(connector.getSessionConfig());
        connector.setConnectTimeoutMillis(CONNECT_MS);
        connector.setHandler(new Handler(null, null));
    }

    private static Thread thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    private static void tune(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setMaxReadBufferSize(READ);
        config.setReadBufferSize(FIRST_READ);
    }

    /**
     * Listens on this address too, for callers of this kind; each connection gets its receiver on
     * the network's thread.
     */
    public void listen(
            String kind,
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> receivers)
            throws IOException {
        Acceptor acceptor = new Acceptor(threads, gateways);
        acceptors.add(acceptor);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        tune(acceptor.getSessionConfig());
        acceptor.setHandler(new Handler(kind, receivers));
        try {
            acceptor.bind(address);
        } catch (IOException e) {
            throw new IOException(
                    "cannot listen on " + address + ": it is in use or not this machine's", e);
        }
    }

    /** No new connection is taken; those that are open stay. */
    public void closeListeners() {
        for (Acceptor acceptor : acceptors) {
            acceptor.setCloseOnDeactivation(false);
            acceptor.unbind();
        }
    }

    /**
     * Connects as one of the links; the receiver is made, or {@code failed} is run on the schedule.
     */
    public void connect(
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> receivers,
            Runnable failed) {
        connect("link", address, receivers, failed);
    }

    /**
     * Connects for what {@code kind} names; the receiver is made, or {@code failed} is run on the
     * schedule.
     */
    public void connect(
            String kind,
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> receivers,
            Runnable failed) {
        ConnectFuture connecting =
                connector.connect(
                        address,
                        (session, future) -> {
                            session.setAttribute(Function.class, receivers);
                            session.setAttribute(KIND, kind);
                        });
        connecting.addListener(
                (IoFutureListener<ConnectFuture>)
                        future -> {
                            if (future.isConnected()) {
                                refusing.remove(address);
                            } else {
                                // One line for a row of tries: who is down is asked again and
                                // again.
                                if (refusing.add(address)) {
                                    ended(kind, address, CloseCode.REFUSED);
                                }
                                schedule.post(failed);
                            }
                        });
    }

    /** The one line that each connection leaves. */
    private static void ended(String kind, Object peer, CloseCode code) {
        LOG.info(() -> "connection " + kind + ' ' + peer + " ended: " + code.externalName());
    }

    void after(Duration span, Runnable work) {
        schedule.after(span, work);
    }

    void dirty(Connection connection) {
        dirty.add(connection);
    }

    /** Gateways have left much unread, all together. */
    boolean crowded() {
        long unread = 0;
        for (Acceptor acceptor : acceptors) {
            unread += acceptor.getScheduledWriteBytes();
        }
        return unread > memory / UNREAD_PART;
    }

    /** Writes out what a gathering has left, one write for each connection. */
    public void flush() {
        if (dirty.isEmpty()) {
            return;
        }
        List<Connection> all = new ArrayList<>(dirty);
        dirty.clear();
        all.forEach(Connection::flush);
    }

    /** Ends all threads; what was written has gone out or never will. */
    public void stop() {
        acceptors.forEach(acceptor -> acceptor.dispose(false));
        connector.dispose(false);
        threads.shutdown();
    }

    private final class Handler extends IoHandlerAdapter {
        private final String kind;
        private final Function<Connection, ConnectionHandler> fixed;

        Handler(String kind, Function<Connection, ConnectionHandler> fixed) {
            this.kind = kind;
            this.fixed = fixed;
        }

        @Override
        @SuppressWarnings("unchecked")
        public void sessionCreated(IoSession session) {
            Connection connection =
                    new Connection(session, Network.this, fixed != null, schedule.now());
            Function<Connection, ConnectionHandler> receivers =
                    fixed != null
                            ? fixed
                            : (Function<Connection, ConnectionHandler>)
                                    session.removeAttribute(Function.class);
            session.setAttribute(Connection.class, connection);
            session.setAttribute(ConnectionHandler.class, receivers.apply(connection));
        }

        private String kind(IoSession session) {
            return fixed != null ? kind : (String) session.getAttribute(KIND);
        }

        private Connection connection(IoSession session) {
            return (Connection) session.getAttribute(Connection.class);
        }

        private ConnectionHandler receiver(IoSession session) {
            return (ConnectionHandler) session.getAttribute(ConnectionHandler.class);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            Connection connection = connection(session);
            if (!connection.open() || connection.deaf()) {
                return;
            }
            IoBuffer buffer = (IoBuffer) message;
            int from = buffer.arrayOffset() + buffer.position();
            ConnectionHandler receiver = receiver(session);
            Runnable work;
            try {
                work = receiver.received(buffer.array(), from, from + buffer.remaining());
            } catch (BadInputException e) {
                LOG.info(
                        () ->
                                "bad input from "
                                        + kind(session)
                                        + " "
                                        + connection.peer()
                                        + ": "
                                        + e.getMessage());
                if (fixed == null) {
                    connection.drop(CloseCode.BAD_INPUT);
                } else {
                    spoilt(connection, receiver, CloseCode.BAD_INPUT);
                }
                return;
            }
            Duration since = connection.within();
            connection.within(
                    !receiver.within()
                            ? null
                            : since == null || work != null ? schedule.now() : since);
            if (work == null) {
                return;
            }
            boolean flooded = false;
            int bytes = buffer.remaining();
            int mine = connection.queued(bytes);
            long all = allBehind.addAndGet(bytes);
            if (fixed == null) {
                // Guards against a peer that sends faster than the one thread works: its socket
                // fills instead. Reading waits
                // here, since MINA's own suspend and resume lose each other's changes when two
                // threads call them.
                behind.acquireUninterruptibly();
            } else if (mine > MOST_BEHIND || mine > SOME_BEHIND && all > memory / BEHIND_PART) {
                // Guards against a flood that would hold up the reading of all others: whoever has
                // most is read no further.
                flooded = true;
            }
            schedule.post(
                    () -> {
                        if (fixed == null) {
                            behind.release();
                        }
                        connection.queued(-bytes);
                        allBehind.addAndGet(-bytes);
                        connection.used(schedule.now());
                        work.run();
                    });
            if (flooded) {
                spoilt(connection, receiver, CloseCode.FLOOD);
            }
        }

        /**
         * Guards against answers that are lost with a caller's connection: what was read of it
         * before is worked off first.
         */
        private void spoilt(Connection connection, ConnectionHandler receiver, CloseCode code) {
            connection.deafen();
            schedule.post(
                    () -> {
                        if (!receiver.spoilt(code)) {
                            connection.drop(code);
                        }
                    });
        }

        @Override
        public void inputClosed(IoSession session) {
            session.suspendRead(); // guards against a selector that wakes for this end again and
            // again
            connection(session).inputEnds();
            ConnectionHandler receiver = receiver(session);
            schedule.post(receiver::inputEnded);
        }

        @Override
        public void sessionClosed(IoSession session) {
            Connection connection = connection(session);
            ConnectionHandler receiver = receiver(session);
            connection.reason(CloseCode.PEER_CLOSED);
            receiver.closed();
            schedule.post(
                    () -> {
                        CloseCode code = connection.code();
                        receiver.ended(code);
                        // One for each run would fill the log: the figures of their pools count
                        // these.
                        if (code == CloseCode.ANSWERED && fixed == null) {
                            return;
                        }
                        ended(kind(session), connection.peer(), code);
                    });
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            Connection connection = connection(session);
            if (connection == null) {
                return;
            }
            if (!(cause instanceof IOException)) {
                LOG.log(Level.WARNING, "fault at " + connection.peer(), cause);
            }
            connection.drop(CloseCode.BROKEN);
        }
    }
}
