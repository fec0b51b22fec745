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
import java.util.function.Function;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * All TCP connections of the server, on Apache MINA, with one I/O thread for client connections and
 * one for outbound connections. The I/O threads only read, decode what outbound connections
 * receive, and enqueue; everything else runs on the event loop.
 *
 * <p>Methods must be called on the event loop, or before it starts, unless documented otherwise.
 */
public final class Network {
    /** Maximum bytes of one read: a few messages of maximum length. */
    private static final int MAX_READ_BYTES = 8 * 1024;

    private static final int INITIAL_READ_BYTES = 4 * 1024;

    /** Output that clients have not read may take 1/24 of the server's memory. */
    private static final int UNREAD_MEMORY_DIVISOR = 24;

    /** Messages of outbound connections that wait for the event loop may take as much. */
    private static final int PARSED_INPUT_MEMORY_DIVISOR = 24;

    /** Client connections to assume if their number is not given. */
    private static final int DEFAULT_CLIENT_CONNECTIONS = 64;

    private static final int BACKLOG = 1024;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

    private final Scheduler scheduler;
    private final ExecutorService threads = Executors.newCachedThreadPool(Network::daemonThread);
    private final NioProcessor acceptedProcessor = new ClientProcessor(threads);
    private final NioProcessor outboundProcessor = new NioProcessor(threads);
    private final NioSocketConnector connector = new NioSocketConnector(threads, outboundProcessor);
    private final long memoryBytes;
    private final InputLimits inputLimits;
    private final HeldInput heldInput;
    private final UnreadOutput unreadOutput;
    private final Set<Connection> dirtyConnections = new LinkedHashSet<>();
    private final Set<InetSocketAddress> unreachableAddresses = ConcurrentHashMap.newKeySet();
    private final List<Acceptor> acceptors = new ArrayList<>();

    /**
     * Creates a network without listeners and connections.
     *
     * @param scheduler the event loop
     * @param memoryBytes memory of the server in bytes; the buffer limits are fractions of it
     */
    public Network(Scheduler scheduler, long memoryBytes) {
        this(scheduler, memoryBytes, DEFAULT_CLIENT_CONNECTIONS);
    }

    /**
     * Creates a network without listeners and connections.
     *
     * @param scheduler the event loop
     * @param memoryBytes memory of the server in bytes; the buffer limits are fractions of it
     * @param maxClientConnections client connections that may be open at once, over all listeners
     */
    public Network(Scheduler scheduler, long memoryBytes, int maxClientConnections) {
        this.scheduler = scheduler;
        this.memoryBytes = memoryBytes;
        inputLimits = InputLimits.of(memoryBytes, maxClientConnections);
        heldInput = new HeldInput(inputLimits.heldBytes());
        unreadOutput = new UnreadOutput(memoryBytes / UNREAD_MEMORY_DIVISOR);
        configure(connector.getSessionConfig(), MAX_READ_BYTES);
        connector.setConnectTimeoutMillis(CONNECT_TIMEOUT_MILLIS);
        connector.setHandler(new OutboundSessionHandler(this, scheduler));
    }

    private static Thread daemonThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    private static void configure(SocketSessionConfig config, int readBytes) {
        config.setTcpNoDelay(true);
        config.setMaxReadBufferSize(readBytes);
        config.setReadBufferSize(Math.min(INITIAL_READ_BYTES, readBytes));
    }

    /**
     * Listens on an additional address.
     *
     * @param kind the purpose of the connections, for log lines
     * @param address the address to listen on
     * @param handlerFactory creates the protocol handler of an accepted connection; called on the
     *     I/O thread
     * @throws IOException if the address is in use or does not belong to this machine
     */
    public void listen(
            String kind,
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> handlerFactory)
            throws IOException {
        Acceptor acceptor = new Acceptor(threads, acceptedProcessor);
        acceptors.add(acceptor);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        configure(acceptor.getSessionConfig(), inputLimits.readBytes());
        acceptor.setHandler(new AcceptedSessionHandler(this, scheduler, kind, handlerFactory));
        try {
            acceptor.bind(address);
        } catch (IOException e) {
            throw new IOException(
                    "cannot listen on " + address + ": it is in use or not this machine's", e);
        }
    }

    /** Closes the listeners; open connections are not affected. */
    public void closeListeners() {
        for (Acceptor acceptor : acceptors) {
            acceptor.setCloseOnDeactivation(false);
            acceptor.unbind();
        }
    }

    /**
     * Like {@link #connect(String, InetSocketAddress, Function, Runnable)}, for a connection that
     * is logged as {@code link}.
     */
    public void connect(
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> handlerFactory,
            Runnable onFailure) {
        connect("link", address, handlerFactory, onFailure);
    }

    /**
     * Connects to a peer.
     *
     * @param kind the purpose of the connection, for log lines
     * @param address the peer's address
     * @param handlerFactory creates the protocol handler when connected; called on the I/O thread
     * @param onFailure run on the event loop if the connection cannot be established
     */
    public void connect(
            String kind,
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> handlerFactory,
            Runnable onFailure) {
        ConnectFuture connecting =
                connector.connect(
                        address,
                        (session, future) ->
                                OutboundSessionHandler.initialize(session, kind, handlerFactory));
        connecting.addListener(
                (IoFutureListener<ConnectFuture>)
                        future ->
                                onConnectFinished(future.isConnected(), kind, address, onFailure));
    }

    private void onConnectFinished(
            boolean succeeded, String kind, InetSocketAddress address, Runnable onFailure) {
        if (succeeded) {
            unreachableAddresses.remove(address);
            return;
        }
        // Connects to a peer that is down are retried: only the first failure is logged.
        if (unreachableAddresses.add(address)) {
            SessionHandler.logClosed(kind, address, CloseCode.REFUSED);
        }
        scheduler.post(onFailure);
    }

    /** Runs work on the event loop after a delay. */
    void runAfter(Duration delay, Runnable work) {
        scheduler.runAfter(delay, work);
    }

    /** Marks a connection as having output for the next {@link #flush}. */
    void markDirty(Connection connection) {
        dirtyConnections.add(connection);
    }

    /** Returns the account of the input that client connections hold. */
    HeldInput heldInput() {
        return heldInput;
    }

    /** Returns the memory, in bytes, for outbound connections' messages that wait to be handled. */
    long parsedOutboundInputBytes() {
        return memoryBytes / PARSED_INPUT_MEMORY_DIVISOR;
    }

    /** Returns the account of the output that clients have not read. */
    UnreadOutput unreadOutput() {
        return unreadOutput;
    }

    /** Sends the output of the current event loop round, in a single write per connection. */
    public void flush() {
        if (dirtyConnections.isEmpty()) {
            return;
        }
        List<Connection> written = new ArrayList<>(dirtyConnections);
        dirtyConnections.clear();
        written.forEach(Connection::flush);
        unreadOutput.closeExcess();
    }

    /** Closes all connections, discards unsent output and stops the I/O threads. */
    public void stop() {
        acceptors.forEach(acceptor -> acceptor.dispose(false));
        connector.dispose(false);
        threads.shutdown();
    }
}
