package ochretiller.workers;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import ochretiller.execution.RunBackend.RunListener;
import ochretiller.execution.RunRequest;
import ochretiller.model.RunOutcome;
import ochretiller.net.CloseCode;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;
import ochretiller.pools.RequestOutcome;
import ochretiller.pools.WorkerId;
import ochretiller.uwsgi.UwsgiRequest;
import ochretiller.uwsgi.UwsgiResponse;

/**
 * One run on a pool of workers. It is offered to a few workers until one accepts the connection;
 * once the request is written, the run may have started, and no other worker gets it. Belongs to
 * the event loop.
 */
final class WorkerRun {
    /** A worker that accepts no connection in this time is down: usual are milliseconds. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Workers that one run is offered to; the pool's retry budget bounds all runs together. */
    private static final int MAX_ATTEMPTS = 3;

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_AFTER_SUCCESS = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    private final UwsgiRunBackend backend;
    private final Scheduler schedule;
    private final Network network;
    private final WorkerPool pool;
    private final WorkerPoolConfig.Target target;
    private final RunRequest request;
    private final RunListener listener;
    private final Duration startedAt;
    private Optional<WorkerId> worker = Optional.empty();
    private Duration attemptedAt = Duration.ZERO;
    private int attempts;

    /** The number of the current attempt; connections of earlier ones may still come up. */
    private int currentAttempt;

    private boolean isWritten;
    private boolean isOver;
    private Optional<WorkerConnection> connection = Optional.empty();

    WorkerRun(
            UwsgiRunBackend backend,
            Scheduler schedule,
            Network network,
            WorkerPool pool,
            WorkerPoolConfig.Target target,
            RunRequest request,
            RunListener listener) {
        this.backend = backend;
        this.schedule = schedule;
        this.network = network;
        this.pool = pool;
        this.target = target;
        this.request = request;
        this.listener = listener;
        this.startedAt = schedule.now();
    }

    String requestId() {
        return request.requestId();
    }

    WorkerPool pool() {
        return pool;
    }

    /** The worker that has the run, for log lines. */
    String workerName() {
        return worker.map(WorkerId::toString).orElse("unknown");
    }

    /** Whether the request was written on this connection. */
    boolean isServedBy(WorkerConnection candidate) {
        return connection.filter(serving -> serving == candidate).isPresent();
    }

    /** Starts the run and its timeout. */
    void start() {
        pool.runs.add();
        Duration timeout = request.deadline().minus(startedAt);
        if (request.idempotencyKey() != null) {
            // A keyed run may take effect after its deadline, and its result serves the retries.
            timeout = timeout.plus(pool.lateAnswerTime());
        }
        schedule.after(
                timeout.isNegative() ? Duration.ZERO : timeout,
                () -> abandon(RequestOutcome.SILENT));
        offerTo(pool.choose(startedAt));
    }

    private void offerTo(Optional<WorkerId> next) {
        if (next.isEmpty()) {
            pool.neverStarted.add();
            finish(RunOutcome.Status.NOT_DISPATCHED, null);
            return;
        }
        worker = next;
        attemptedAt = schedule.now();
        attempts++;
        currentAttempt++;
        int attempt = currentAttempt;
        network.connect(
                "worker",
                pool.addressOf(next.get()),
                made -> new WorkerConnection(this, attempt, made, backend, schedule),
                () -> onNeverStarted(attempt));
        schedule.after(CONNECT_TIMEOUT, () -> onNeverStarted(attempt));
    }

    private boolean isCurrent(int attempt) {
        return !isOver && !isWritten && attempt == currentAttempt;
    }

    /** An attempt ended before its request was written; ignored where another one is current. */
    void onNeverStarted(int attempt) {
        if (!isCurrent(attempt)) {
            return;
        }
        currentAttempt++;
        Duration now = schedule.now();
        WorkerId before = worker.orElseThrow();
        reportOutcome(RequestOutcome.NEVER_BEGUN);
        boolean mayRetry = attempts < MAX_ATTEMPTS && now.compareTo(request.deadline()) < 0;
        Optional<WorkerId> next =
                mayRetry
                        ? pool.chooseForRetry(before, RequestOutcome.NEVER_BEGUN, now)
                        : Optional.empty();
        if (next.isPresent()) {
            pool.retriedElsewhere.add();
        }
        offerTo(next);
    }

    /** A connection is established: the request is written, unless the attempt was passed over. */
    void onConnected(WorkerConnection made) {
        if (!isCurrent(made.attempt())) {
            made.drop(CloseCode.GIVEN_UP);
            return;
        }
        connection = Optional.of(made);
        made.write(encodeRequest());
        isWritten = true;
    }

    private UwsgiRequest encodeRequest() {
        Map<String, String> variables = new LinkedHashMap<>();
        variables.put("REQUEST_METHOD", target.method());
        variables.put("REQUEST_URI", target.path());
        variables.put("PATH_INFO", target.path());
        variables.put("QUERY_STRING", "");
        variables.put("SERVER_PROTOCOL", "HTTP/1.1");
        variables.put("CONTENT_TYPE", "application/octet-stream");
        variables.put("CONTENT_LENGTH", "" + request.body().length);
        variables.put("HTTP_X_REQUEST_ID", request.requestId());
        if (request.idempotencyKey() != null) {
            variables.put("HTTP_IDEMPOTENCY_KEY", request.idempotencyKey());
        }
        long millisLeft = request.deadline().minus(schedule.now()).toMillis();
        variables.put("HTTP_X_TIME_LEFT_MS", "" + Math.max(0, millisLeft));
        return new UwsgiRequest(variables, request.body(), false);
    }

    /**
     * An answer came. A status of 5xx counts against the worker; any other says something about the
     * request only.
     */
    void onAnswer(UwsgiResponse answer) {
        if (isOver) {
            pool.lateAnswers.add();
            return;
        }
        boolean isWorkerHealthy = answer.status() < FIRST_SERVER_ERROR;
        if (!isWorkerHealthy) {
            pool.failed.add();
        }
        reportOutcome(isWorkerHealthy ? RequestOutcome.ANSWERED : RequestOutcome.FAILED);
        if (answer.status() >= FIRST_SUCCESS && answer.status() < FIRST_AFTER_SUCCESS) {
            finish(RunOutcome.Status.SUCCEEDED, answer.body());
        } else {
            finish(RunOutcome.Status.FAILED, null);
        }
    }

    /** The connection ended without a well-formed answer: the run may have taken place. */
    void onDisconnected() {
        if (isOver) {
            return;
        }
        pool.failed.add();
        reportOutcome(RequestOutcome.FAILED);
        finish(RunOutcome.Status.FAILED, null);
    }

    /**
     * Nobody waits for the run any more.
     *
     * @param outcome whether it timed out or was cancelled
     */
    void abandon(RequestOutcome outcome) {
        if (isOver) {
            return;
        }
        if (!isWritten) {
            // The client is told that it never ran, so nothing of it may be sent from here on.
            if (worker.isPresent()) {
                reportOutcome(RequestOutcome.NEVER_BEGUN);
            }
            finish(RunOutcome.Status.NOT_DISPATCHED, null);
            return;
        }
        pool.timedOut.add();
        reportOutcome(outcome);
        boolean isCancelled = outcome == RequestOutcome.GIVEN_UP;
        finish(isCancelled ? RunOutcome.Status.STOPPED : RunOutcome.Status.FAILED, null);
        connection.ifPresent(this::releaseAfterTimeout);
    }

    private void releaseAfterTimeout(WorkerConnection serving) {
        if (pool.lateListeners >= WorkerPool.MAX_LATE_LISTENERS) {
            serving.drop(CloseCode.GIVEN_UP);
        } else {
            serving.awaitLateAnswer(schedule);
        }
    }

    private void reportOutcome(RequestOutcome outcome) {
        Duration now = schedule.now();
        pool.requestEnded(worker.orElseThrow(), outcome, now.minus(attemptedAt), now);
    }

    private void finish(RunOutcome.Status status, byte[] result) {
        isOver = true;
        backend.remove(this);
        Duration elapsed = schedule.now().minus(startedAt);
        // In the next round, since the caller of startRun must not be told before that returns.
        schedule.post(() -> listener.onRunFinished(status, elapsed, result));
    }
}
