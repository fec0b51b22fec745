package ochretiller.workers;

import java.util.Optional;
import java.util.logging.Logger;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.net.ScheduledTask;
import ochretiller.net.Scheduler;
import ochretiller.uwsgi.UwsgiException;
import ochretiller.uwsgi.UwsgiRequest;
import ochretiller.uwsgi.UwsgiResponse;
import ochretiller.uwsgi.UwsgiResponseDecoder;

/**
 * One connection to a worker, which carries one request. Confined to the event loop thread, except
 * for {@link #decode}.
 */
final class WorkerConnection implements ConnectionHandler {
    private static final Logger LOG = Logger.getLogger(UwsgiRunBackend.class.getName());

    /** Maximum size of an answer, the same as for a result of the processor. */
    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    private final WorkerRun run;
    private final int attempt;
    private final Connection connection;
    private final UwsgiRunBackend backend;
    private final UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(MAX_ANSWER_BYTES);

    /** Ends the wait for a late answer; empty while none is waited for. */
    private Optional<ScheduledTask> lateAnswerTimeout = Optional.empty();

    /**
     * Wraps an established connection. Called on the I/O thread.
     *
     * @param attempt the number of the attempt of the run that opened the connection
     */
    WorkerConnection(
            WorkerRun run,
            int attempt,
            Connection connection,
            UwsgiRunBackend backend,
            Scheduler scheduler) {
        this.run = run;
        this.attempt = attempt;
        this.connection = connection;
        this.backend = backend;
        scheduler.post(this::onEstablished);
    }

    private void onEstablished() {
        if (!connection.isOpen()) {
            return; // the network reports the end of the connection next
        }
        backend.add(this);
        run.onConnected(this);
    }

    int attempt() {
        return attempt;
    }

    void write(UwsgiRequest request) {
        for (byte[] part : request.encode()) {
            connection.write(part);
        }
    }

    /** Keeps the connection of a timed-out run open for a while, to count a late answer. */
    void awaitLateAnswer(Scheduler scheduler) {
        run.pool().lateAnswerConnections++;
        lateAnswerTimeout =
                Optional.of(
                        scheduler.runAfter(
                                run.pool().lateAnswerTime(), () -> drop(CloseCode.GIVEN_UP)));
    }

    /** Closes the connection immediately. */
    void drop(CloseCode code) {
        if (connection.isOpen()) {
            connection.drop(code);
        }
    }

    @Override
    public Runnable decode(byte[] bytes, int from, int to) {
        try {
            UwsgiResponse answer = decoder.decode(bytes, from, to);
            return answer == null ? null : () -> onAnswer(answer);
        } catch (UwsgiException e) {
            String fault = e.getMessage();
            return () -> onMalformedAnswer(fault);
        }
    }

    private void onMalformedAnswer(String fault) {
        if (!connection.isOpen()) {
            return;
        }
        LOG.warning("malformed response from worker " + run.workerName() + ": " + fault);
        connection.drop(CloseCode.BAD_INPUT);
    }

    private void onAnswer(UwsgiResponse answer) {
        if (!connection.isOpen()) {
            return;
        }
        if (!run.isServedBy(this)) {
            connection.drop(CloseCode.BAD_INPUT); // no request was written on this connection
            return;
        }
        run.onAnswer(answer);
        connection.close(CloseCode.ANSWERED);
    }

    /** Handles the end of the input, which completes an answer without a content length. */
    @Override
    public void onInputEnded() {
        UwsgiResponse answer = run.isServedBy(this) ? decoder.finish() : null;
        if (answer != null) {
            run.onAnswer(answer);
        }
        drop(answer != null ? CloseCode.ANSWERED : CloseCode.PEER_CLOSED);
    }

    @Override
    public void onClosed(CloseCode code) {
        backend.remove(this);
        if (lateAnswerTimeout.isPresent()) {
            lateAnswerTimeout.get().cancel();
            run.pool().lateAnswerConnections--;
        }
        if (run.isServedBy(this)) {
            run.onDisconnected();
        } else {
            run.onNeverStarted(attempt);
        }
    }
}
