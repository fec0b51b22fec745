package ochretiller.workers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ochretiller.execution.RunBackend.RunListener;
import ochretiller.execution.RunRequest;
import ochretiller.model.RunOutcome;
import ochretiller.net.CloseCode;
import ochretiller.net.Network;
import ochretiller.net.ScheduledTask;
import ochretiller.net.Scheduler;
import ochretiller.pools.RequestOutcome;
import ochretiller.pools.WorkerId;
import ochretiller.uwsgi.UwsgiRequest;
import ochretiller.uwsgi.UwsgiResponse;

/**
 * One run on a pool of workers. It tries a few workers until one accepts the connection. Once the
 * request is written, the run may have started, and no other worker gets it. Confined to the event
 * loop thread.
 */
final class WorkerRun {
    /** A worker that accepts no connection in this time is down; most accept in milliseconds. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Maximum attempts of one run; the retry budget of the pool limits those of all runs. */
    private static final int MAX_ATTEMPTS = 3;

    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_REDIRECTION_STATUS = 300;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final UwsgiRunBackend backend;
    private final Scheduler scheduler;
    private final Network network;
    private final WorkerPool pool;
    private final WorkerPoolConfig.Target target;
    private final RunRequest request;
    private final RunListener listener;
    private final Duration startedAt;
    private Optional<WorkerId> worker = Optional.empty();
    private Duration attemptStartedAt = Duration.ZERO;
    private int attempts;

    /** Number of the current attempt; connections of earlier ones may still be established. */
    private int currentAttempt;

    private boolean isWritten;
    private boolean isOver;
    private Optional<WorkerConnection> connection = Optional.empty();

    /** Tasks that end the run, or its current attempt, if nothing else does. */
    private final List<ScheduledTask> timeouts = new ArrayList<>();

    WorkerRun(
            UwsgiRunBackend backend,
            Scheduler scheduler,
            Network network,
            WorkerPool pool,
            WorkerPoolConfig.Target target,
            RunRequest request,
            RunListener listener) {
        this.backend = backend;
        this.scheduler = scheduler;
        this.network = network;
        this.pool = pool;
        this.target = target;
        this.request = request;
        this.listener = listener;
        this.startedAt = scheduler.now();
    }

    String requestId() {
        return request.requestId();
    }

    WorkerPool pool() {
        return pool;
    }

    /** Returns the address of the current worker for log lines. */
    String workerName() {
        return worker.map(WorkerId::toString).orElse("unknown");
    }

    /** Returns whether the request was written on this connection. */
    boolean isServedBy(WorkerConnection candidate) {
        return connection.filter(serving -> serving == candidate).isPresent();
    }

    /** Starts the run and its timeout. */
    void start() {
        pool.startedRuns.add();
        Duration timeout = request.deadline().minus(startedAt);
        if (request.idempotencyKey() != null) {
            // A keyed run may complete after its deadline; its result then answers the retries.
            timeout = timeout.plus(pool.lateAnswerTime());
        }
        timeouts.add(
                scheduler.runAfter(
                        timeout.isNegative() ? Duration.ZERO : timeout,
                        () -> abandon(RequestOutcome.TIMED_OUT)));
        offerTo(pool.choose(startedAt));
    }

    private void offerTo(Optional<WorkerId> next) {
        if (next.isEmpty()) {
            pool.neverStartedRuns.add();
            finish(RunOutcome.Status.NOT_DISPATCHED, null);
            return;
        }
        worker = next;
        attemptStartedAt = scheduler.now();
        attempts++;
        currentAttempt++;
        int attempt = currentAttempt;
        network.connect(
                "worker",
                pool.addressOf(next.get()),
                established -> new WorkerConnection(this, attempt, established, backend, scheduler),
                () -> onNeverStarted(attempt));
        timeouts.add(scheduler.runAfter(CONNECT_TIMEOUT, () -> onNeverStarted(attempt)));
    }

    private boolean isCurrent(int attempt) {
        return !isOver && !isWritten && attempt == currentAttempt;
    }

    /** Handles the end of an attempt before its request was written, if it is the current one. */
    void onNeverStarted(int attempt) {
        if (!isCurrent(attempt)) {
            return;
        }
        currentAttempt++;
        Duration now = scheduler.now();
        WorkerId previous = worker.orElseThrow();
        reportOutcome(RequestOutcome.NEVER_STARTED);
        boolean mayRetry = attempts < MAX_ATTEMPTS && now.compareTo(request.deadline()) < 0;
        Optional<WorkerId> next =
                mayRetry
                        ? pool.chooseForRetry(previous, RequestOutcome.NEVER_STARTED, now)
                        : Optional.empty();
        if (next.isPresent()) {
            pool.retriedRuns.add();
        }
        offerTo(next);
    }

    /** Writes the request on an established connection if its attempt is still current. */
    void onConnected(WorkerConnection established) {
        if (!isCurrent(established.attempt())) {
            established.drop(CloseCode.GIVEN_UP);
            return;
        }
        connection = Optional.of(established);
        established.write(encodeRequest());
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
        long millisLeft = request.deadline().minus(scheduler.now()).toMillis();
        variables.put("HTTP_X_TIME_LEFT_MS", "" + Math.max(0, millisLeft));
        return new UwsgiRequest(variables, request.body(), false);
    }

    /**
     * Handles an answer. A 5xx status counts as a failure of the worker; any other status concerns
     * only the request.
     */
    void onAnswer(UwsgiResponse answer) {
        if (isOver) {
            pool.lateAnswers.add();
            return;
        }
        boolean isWorkerHealthy = answer.status() < MIN_SERVER_ERROR_STATUS;
        if (!isWorkerHealthy) {
            pool.failedRuns.add();
        }
        reportOutcome(isWorkerHealthy ? RequestOutcome.ANSWERED : RequestOutcome.FAILED);
        if (answer.status() >= MIN_SUCCESS_STATUS && answer.status() < MIN_REDIRECTION_STATUS) {
            finish(RunOutcome.Status.SUCCEEDED, answer.body());
        } else {
            finish(RunOutcome.Status.FAILED, null);
        }
    }

    /** Handles the end of the connection without a valid answer; the run may have taken place. */
    void onDisconnected() {
        if (isOver) {
            return;
        }
        pool.failedRuns.add();
        reportOutcome(RequestOutcome.FAILED);
        finish(RunOutcome.Status.FAILED, null);
    }

    /**
     * Ends the run because its result is no longer awaited.
     *
     * @param outcome whether the run timed out or was cancelled
     */
    void abandon(RequestOutcome outcome) {
        if (isOver) {
            return;
        }
        if (!isWritten) {
            // The client is told that the run never started, so no request may be sent afterwards.
            if (worker.isPresent()) {
                reportOutcome(RequestOutcome.NEVER_STARTED);
            }
            finish(RunOutcome.Status.NOT_DISPATCHED, null);
            return;
        }
        pool.timedOutRuns.add();
        reportOutcome(outcome);
        boolean isCancelled = outcome == RequestOutcome.CANCELLED;
        finish(isCancelled ? RunOutcome.Status.STOPPED : RunOutcome.Status.FAILED, null);
        connection.ifPresent(this::releaseAfterTimeout);
    }

    private void releaseAfterTimeout(WorkerConnection serving) {
        if (pool.lateAnswerConnections >= WorkerPool.MAX_LATE_ANSWER_CONNECTIONS) {
            serving.drop(CloseCode.GIVEN_UP);
        } else {
            serving.awaitLateAnswer(scheduler);
        }
    }

    private void reportOutcome(RequestOutcome outcome) {
        Duration now = scheduler.now();
        pool.onRequestEnded(worker.orElseThrow(), outcome, now.minus(attemptStartedAt), now);
    }

    private void finish(RunOutcome.Status status, byte[] result) {
        isOver = true;
        timeouts.forEach(ScheduledTask::cancel);
        timeouts.clear();
        backend.remove(this);
        Duration elapsed = scheduler.now().minus(startedAt);
        // Posted, because the listener must not be called before startRun returns.
        scheduler.post(() -> listener.onRunFinished(status, elapsed, result));
    }
}
