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
import ochretiller.text.Frames;
import ochretiller.text.Slice;

/**
 * One connection to the records service, with at most one call on it. Belongs to the event loop,
 * except for {@link #received}.
 */
final class RecordsConnection implements ConnectionHandler {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int WORDS_WITH_BODY = 3;

    private final Connection connection;
    private final InetSocketAddress address;
    private final long generation;
    private final RecordsClient client;
    private final Scheduler schedule;
    private final Frames frames = new Frames(MAX_BODY_BYTES, true, RecordsConnection::bodyLength);
    private Optional<PendingCall> call = Optional.empty();

    /**
     * A connection that was established. Called on the I/O thread.
     *
     * @param address the address that was connected to
     * @param generation the generation of addresses in which the connection was begun
     */
    RecordsConnection(
            Connection connection,
            InetSocketAddress address,
            long generation,
            RecordsClient client,
            Scheduler schedule) {
        this.connection = connection;
        this.address = address;
        this.generation = generation;
        this.client = client;
        this.schedule = schedule;
        schedule.post(() -> client.onConnected(this));
    }

    InetSocketAddress address() {
        return address;
    }

    long generation() {
        return generation;
    }

    boolean isOpen() {
        return connection.open();
    }

    /** When something was last read or written, since the server's start. */
    Duration lastUsedAt() {
        return connection.usedAt();
    }

    /** The call that was written last and has had no reply. */
    Optional<PendingCall> call() {
        return call;
    }

    void clearCall() {
        call = Optional.empty();
    }

    /** Writes a call, with the time that is left for its reply in milliseconds. */
    void send(PendingCall next) {
        call = Optional.of(next);
        Duration waited = schedule.now().minus(next.startedAt);
        long millisLeft = Math.max(1, next.timeout.minus(waited).toMillis());
        connection
                .write("OP " + next.requestId + ' ' + millisLeft + ' ' + next.body.length + "\r\n")
                .write(next.body)
                .write("\r\n");
        connection.used(schedule.now());
    }

    /** Tells the service that nobody waits for a call any more. */
    void cancel(String requestId) {
        connection.write("UNOP " + requestId + "\r\n");
    }

    /** Closes the connection once its output has gone out. */
    void close(CloseCode code) {
        connection.close(code);
    }

    @Override
    public Runnable received(byte[] bytes, int from, int to) {
        List<Runnable> replies = new ArrayList<>();
        frames.read(bytes, from, to, (line, body) -> replies.add(reply(line, body)));
        return () -> replies.forEach(Runnable::run);
    }

    private Runnable reply(Slice line, Slice body) {
        List<String> words = line.words();
        if (words.size() < 2) {
            throw new BadInputException("no reply: '" + line.text() + "'");
        }
        CallOutcome.Status status = status(words.get(1));
        byte[] copy = body.copy(); // it outlives the read buffer
        return () -> client.onReply(this, words.get(0), status, copy);
    }

    @Override
    public void inputEnded() {
        connection.drop(CloseCode.PEER_CLOSED);
    }

    @Override
    public void ended(CloseCode code) {
        client.onDisconnected(this);
    }

    private static CallOutcome.Status status(String word) {
        return switch (word) {
            case "DONE" -> CallOutcome.Status.SUCCEEDED;
            case "WAIT" -> CallOutcome.Status.REJECTED;
            case "ERROR" -> CallOutcome.Status.FAILED;
            case "PAST" -> CallOutcome.Status.TIMED_OUT;
            case "EMPTY" -> CallOutcome.Status.UNREACHABLE;
            default -> throw new BadInputException("unknown reply '" + word + "'");
        };
    }

    private static int bodyLength(Slice line) {
        List<String> words = line.words();
        if (words.size() != WORDS_WITH_BODY || !words.get(1).equals("DONE")) {
            return Frames.NONE;
        }
        try {
            int length = Integer.parseInt(words.get(2));
            if (length >= 0) {
                return length;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a negative number.
        }
        throw new BadInputException("no length: '" + words.get(2) + "'");
    }
}
