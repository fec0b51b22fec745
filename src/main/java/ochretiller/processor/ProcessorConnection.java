package ochretiller.processor;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;
import ochretiller.model.RunOutcome;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.net.Scheduler;
import ochretiller.text.BadInputException;
import ochretiller.text.FrameDecoder;
import ochretiller.text.Slice;

/**
 * One connection to the processor: writes commands, and passes notices to {@link ProcessorClient}
 * while it is the client's current connection. Commands and notices are lines of words that end in
 * CR LF; some are followed by a body whose length is the last word.
 *
 * <p>Confined to the event loop, except for {@link #decode}.
 */
final class ProcessorConnection implements ConnectionHandler {
    private static final Logger LOG = Logger.getLogger(ProcessorClient.class.getName());

    private static final int MAX_BODY_BYTES = 64 * 1024;

    /** The tag of the gauge request whose reply marks the end of the repeated notices. */
    private static final String CAUGHT_UP_TAG = "fence";

    private static final double NANOS_PER_MILLI = 1e6;

    /** Limit for durations, about 30 years; larger values are malformed. */
    private static final double MAX_DURATION_MILLIS = 1e12;

    private static final int COMPLETE_WORDS_WITH_BODY = 6;
    private static final int ASK_WORDS_WITH_BODY = 4;

    private final Connection connection;
    private final InetSocketAddress address;
    private final ProcessorClient client;
    private final FrameDecoder decoder =
            new FrameDecoder(MAX_BODY_BYTES, true, ProcessorConnection::bodyLength);

    /**
     * Creates the handler of an established connection. Called on the I/O thread.
     *
     * @param address the remote address
     */
    ProcessorConnection(
            Connection connection,
            InetSocketAddress address,
            ProcessorClient client,
            Scheduler scheduler) {
        this.connection = connection;
        this.address = address;
        this.client = client;
        scheduler.post(() -> client.onConnected(this));
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    /** Closes the connection after its output has been sent. */
    void close(CloseCode code) {
        connection.close(code);
    }

    /** Closes the connection at once. */
    void drop(CloseCode code) {
        connection.drop(code);
    }

    /** Requests all notices with higher numbers. */
    void requestNoticesAfter(long lastNotice) {
        connection.write("hello " + lastNotice + "\r\n");
    }

    void startRun(ActiveRun run) {
        writeWithBody("begin " + run.requestId + ' ' + run.operation, run.body);
    }

    void cancelRun(String requestId) {
        connection.write("interrupt " + requestId + "\r\n");
    }

    /** Sends the reply to the call that a run waits for. */
    void answerCall(String requestId, byte[] reply) {
        writeWithBody("answer " + requestId, reply);
    }

    void requestGauges(String tag) {
        connection.write("usage " + tag + "\r\n");
    }

    void startDeepCheck(String tag) {
        connection.write("trial " + tag + "\r\n");
    }

    private void writeWithBody(String command, byte[] body) {
        connection.write(command + ' ' + body.length + "\r\n").write(body).write("\r\n");
    }

    @Override
    public Runnable decode(byte[] bytes, int from, int to) {
        List<Runnable> notices = new ArrayList<>();
        decoder.decode(
                bytes,
                from,
                to,
                (line, body) -> {
                    List<String> words = line.words();
                    byte[] copy = body.copy(); // results are stored and outlive the read buffer
                    notices.add(() -> onNotice(words, copy));
                });
        return () -> process(notices);
    }

    private void process(List<Runnable> notices) {
        if (!client.isCurrent(this)) {
            return;
        }
        try {
            notices.forEach(Runnable::run);
        } catch (BadInputException | IndexOutOfBoundsException | NumberFormatException e) {
            LOG.warning("bad input from the processor: " + e.getMessage());
            connection.drop(CloseCode.BAD_INPUT);
        }
    }

    private void onNotice(List<String> words, byte[] body) {
        switch (words.get(0)) {
            case "hi" -> {
                client.onProcessorUp(words.get(1).equals("chilly"), duration(words.get(2)));
                requestGauges(CAUGHT_UP_TAG);
            }
            case "complete" -> onRunFinished(words, body);
            case "ask" -> {
                if (client.isNewNotice(number(words.get(1)))) {
                    client.onCall(words.get(2), body);
                }
            }
            case "used" -> {
                client.onGauges(words.subList(2, words.size()));
                if (words.get(1).equals(CAUGHT_UP_TAG)) {
                    client.onCaughtUp();
                }
            }
            case "tried" ->
                    client.onDeepCheckFinished(words.get(1), words.get(2).equals("complete"));
            case "reject" -> onRejected(words.get(1), words.get(2));
            case "remark" -> client.isNewNotice(number(words.get(1)));
            default -> throw new BadInputException("unknown notice '" + words.get(0) + "'");
        }
    }

    private void onRunFinished(List<String> words, byte[] result) {
        if (client.isNewNotice(number(words.get(1)))) {
            Duration elapsed = duration(words.get(4));
            client.onRunFinished(words.get(2), status(words.get(3)), elapsed, result);
        }
    }

    /**
     * A run whose {@code begin} is rejected never starts. Any other command is rejected if it
     * arrives after the end of the run, which needs no reaction.
     */
    private void onRejected(String command, String requestId) {
        LOG.warning("the processor rejected command " + command + " for run " + requestId);
        if (command.equals("begin")) {
            client.onRunFinished(
                    requestId, RunOutcome.Status.NEVER_STARTED, Duration.ZERO, new byte[0]);
        }
    }

    @Override
    public void onInputEnded() {
        connection.drop(CloseCode.PEER_CLOSED);
    }

    @Override
    public void onClosed(CloseCode code) {
        client.onDisconnected(this);
    }

    private static RunOutcome.Status status(String word) {
        return switch (word) {
            case "complete" -> RunOutcome.Status.SUCCEEDED;
            case "cancelled" -> RunOutcome.Status.STOPPED;
            case "unknown" -> RunOutcome.Status.NEVER_STARTED;
            default -> RunOutcome.Status.FAILED;
        };
    }

    private static int bodyLength(Slice line) {
        List<String> words = line.words();
        boolean hasBody =
                words.get(0).equals("complete") && words.size() == COMPLETE_WORDS_WITH_BODY
                        || words.get(0).equals("ask") && words.size() == ASK_WORDS_WITH_BODY;
        if (!hasBody) {
            return FrameDecoder.NO_BODY;
        }
        return (int) Math.min(number(words.get(words.size() - 1)), Integer.MAX_VALUE);
    }

    private static long number(String word) {
        try {
            long number = Long.parseLong(word);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a negative number.
        }
        throw new BadInputException("not a number of at least 0: '" + word + "'");
    }

    private static Duration duration(String millis) {
        try {
            double value = Double.parseDouble(millis);
            if (value >= 0 && value < MAX_DURATION_MILLIS) {
                return Duration.ofNanos((long) (value * NANOS_PER_MILLI));
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        throw new BadInputException("not a duration in milliseconds: '" + millis + "'");
    }
}
