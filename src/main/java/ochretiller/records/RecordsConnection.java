package ochretiller.records;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ochretiller.model.CallOutcome;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.net.Scheduler;
import ochretiller.text.BadInputException;
import ochretiller.text.FrameDecoder;
import ochretiller.text.Slice;

/**
 * One connection to the records service, with at most one call on it. Confined to the event loop,
 * except for {@link #decode}.
 */
final class RecordsConnection implements ConnectionHandler {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int REPLY_WORDS_WITH_BODY = 3;

    private final Connection connection;
    private final InetSocketAddress address;
    private final long generation;
    private final RecordsClient client;
    private final Scheduler scheduler;
    private final FrameDecoder decoder =
            new FrameDecoder(MAX_BODY_BYTES, true, RecordsConnection::bodyLength);
    private Optional<PendingCall> call = Optional.empty();

    /**
     * Creates the handler of an established connection. Called on the I/O thread.
     *
     * @param address the remote address
     * @param generation the client's address generation when the connect was started
     */
    RecordsConnection(
            Connection connection,
            InetSocketAddress address,
            long generation,
            RecordsClient client,
            Scheduler scheduler) {
        this.connection = connection;
        this.address = address;
        this.generation = generation;
        this.client = client;
        this.scheduler = scheduler;
        scheduler.post(() -> client.onConnected(this));
    }

    InetSocketAddress address() {
        return address;
    }

    long generation() {
        return generation;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    /** Returns the time of the last read or write, measured from the start of the server. */
    Duration lastUsedAt() {
        return connection.lastUsedAt();
    }

    /** Returns the call that is awaiting its reply; empty if there is none. */
    Optional<PendingCall> call() {
        return call;
    }

    void clearCall() {
        call = Optional.empty();
    }

    /** Writes a call, with the remaining time for its reply in milliseconds. */
    void send(PendingCall next) {
        call = Optional.of(next);
        Duration waited = scheduler.now().minus(next.startedAt);
        long millisLeft = Math.max(1, next.timeout.minus(waited).toMillis());
        connection
                .write("OP " + next.requestId + ' ' + millisLeft + ' ' + next.body.length + "\r\n")
                .write(next.body)
                .write("\r\n");
        connection.markUsed(scheduler.now());
    }

    /** Notifies the service that a call has been cancelled. */
    void cancel(String requestId) {
        connection.write("UNOP " + requestId + "\r\n");
    }

    /** Closes the connection after its output has been sent. */
    void close(CloseCode code) {
        connection.close(code);
    }

    @Override
    public Runnable decode(byte[] bytes, int from, int to) {
        List<Runnable> replies = new ArrayList<>();
        decoder.decode(bytes, from, to, (line, body) -> replies.add(reply(line, body)));
        return () -> replies.forEach(Runnable::run);
    }

    private Runnable reply(Slice line, Slice body) {
        List<String> words = line.words();
        if (words.size() < 2) {
            throw new BadInputException("incomplete reply: '" + line.text() + "'");
        }
        CallOutcome.Status status = status(words.get(1));
        byte[] copy = body.copy(); // the reply outlives the read buffer
        return () -> client.onReply(this, words.get(0), status, copy);
    }

    @Override
    public void onInputEnded() {
        connection.drop(CloseCode.PEER_CLOSED);
    }

    @Override
    public void onClosed(CloseCode code) {
        client.onDisconnected(this);
    }

    private static CallOutcome.Status status(String word) {
        return switch (word) {
            case "DONE" -> CallOutcome.Status.SUCCEEDED;
            case "WAIT" -> CallOutcome.Status.REJECTED;
            case "ERROR" -> CallOutcome.Status.FAILED;
            case "PAST" -> CallOutcome.Status.TIMED_OUT;
            case "EMPTY" -> CallOutcome.Status.UNREACHABLE;
            default -> throw new BadInputException("unknown reply status '" + word + "'");
        };
    }

    private static int bodyLength(Slice line) {
        List<String> words = line.words();
        if (words.size() != REPLY_WORDS_WITH_BODY || !words.get(1).equals("DONE")) {
            return FrameDecoder.NO_BODY;
        }
        try {
            int length = Integer.parseInt(words.get(2));
            if (length >= 0) {
                return length;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a negative number.
        }
        throw new BadInputException("not a body length: '" + words.get(2) + "'");
    }
}
