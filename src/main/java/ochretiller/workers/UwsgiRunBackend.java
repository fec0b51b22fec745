package ochretiller.workers;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.logging.Logger;
import ochretiller.execution.RunBackend;
import ochretiller.execution.RunRequest;
import ochretiller.metrics.Metrics;
import ochretiller.model.RunOutcome;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;
import ochretiller.pools.RequestOutcome;
import ochretiller.pools.WorkerId;
import ochretiller.uwsgi.UwsgiException;
import ochretiller.uwsgi.UwsgiRequest;
import ochretiller.uwsgi.UwsgiResponse;
import ochretiller.uwsgi.UwsgiResponseDecoder;

/**
 * Carries out runs as requests to uwsgi workers, one request on a connection as their protocol has
 * it.
 */
public final class UwsgiRunBackend implements RunBackend {
    private static final Logger LOG = Logger.getLogger(UwsgiRunBackend.class.getName());

    /** Longest answer: as long as a result on the processor's link. */
    private static final int LONGEST = 64 * 1024;

    /**
     * A worker that takes longer to accept is as good as gone: on one network that is a few
     * milliseconds.
     */
    private static final Duration CONNECT = Duration.ofMillis(500);

    /** Workers that one run is offered to; the budget of second tries bounds all runs together. */
    private static final int MOST_TRIES = 3;

    private final Scheduler schedule;
    private final Network network;
    private final Map<String, WorkerPool> crews = new LinkedHashMap<>();
    private final Map<String, WorkerPool> byOperation = new LinkedHashMap<>();
    private final Map<String, WorkerPoolConfig.Target> targets = new LinkedHashMap<>();
    private final Map<String, Errand> errands = new LinkedHashMap<>();
    private final Set<Attempt> attempts = new LinkedHashSet<>();

    public UwsgiRunBackend(
            Scheduler schedule,
            Network network,
            List<WorkerPoolConfig> plans,
            SplittableRandom chance,
            Metrics metrics) {
        this.schedule = schedule;
        this.network = network;
        for (WorkerPoolConfig plan : plans) {
            WorkerPool crew = new WorkerPool(plan, chance.split(), metrics);
            crew.become(plan, schedule.now());
            crews.put(plan.name(), crew);
            for (WorkerPoolConfig.Target target : plan.runs()) {
                byOperation.put(target.operation(), crew);
                targets.put(target.operation(), target);
            }
        }
    }

    /**
     * Workers and settings change under load: what removed ones have, they end. Pools themselves
     * stay as they were.
     */
    public void become(List<WorkerPoolConfig> plans) {
        Duration now = schedule.now();
        for (WorkerPoolConfig plan : plans) {
            WorkerPool crew = crews.get(plan.name());
            if (crew == null) {
                LOG.warning("pool " + plan.name() + " is new: it needs a restart");
            } else {
                crew.become(plan, now);
            }
        }
        for (String name : crews.keySet()) {
            if (plans.stream().noneMatch(plan -> plan.name().equals(name))) {
                LOG.warning(
                        "pool "
                                + name
                                + " is gone from the operators' file: it stays until a restart");
            }
        }
    }

    /** What a view of the fleet says of whoever serves at this address. */
    public void seen(String address, boolean there) {
        crews.values().forEach(crew -> crew.seen(new WorkerId(address), there));
    }

    /** The pool that carries out an operation, or null. */
    public String pool(String operation) {
        WorkerPool crew = byOperation.get(operation);
        return crew == null ? null : crew.name;
    }

    public int places(String pool) {
        return crews.get(pool).places(schedule.now());
    }

    public int free(String pool) {
        return crews.get(pool).free(schedule.now());
    }

    /**
     * A run of this operation is let go, and {@link #startRun} or {@code expect(operation, -1)}
     * follows.
     */
    public void expect(String operation, int more) {
        byOperation.get(operation).expected += more;
    }

    @Override
    public void startRun(RunRequest task, RunListener then) {
        Errand errand =
                new Errand(task, byOperation.get(task.operationName()), then, schedule.now());
        errand.crew.expected--;
        errands.put(task.requestId(), errand);
        errand.crew.runs.add();
        Duration left = task.deadline().minus(schedule.now());
        // A tokened run may have its effect behind its due time: its answer is worth having for the
        // repeats that follow.
        Duration patience = task.idempotencyKey() == null ? left : left.plus(errand.crew.late);
        schedule.after(
                patience.isNegative() ? Duration.ZERO : patience,
                () -> errand.giveUp(RequestOutcome.SILENT));
        errand.go(errand.crew.choose(schedule.now()));
    }

    @Override
    public void cancelRun(String rid) {
        Errand errand = errands.get(rid);
        if (errand != null) {
            errand.giveUp(RequestOutcome.GIVEN_UP);
        }
    }

    public void close() {
        List.copyOf(attempts).forEach(attempt -> attempt.drop(CloseCode.LEAVING));
    }

    /** One run, from its beginning to its one end. */
    private final class Errand {
        private final RunRequest task;
        private final WorkerPool crew;
        private final RunListener then;
        private final Duration begunAt;
        private WorkerId worker;
        private Duration triedAt;
        private int offers;

        /** Names the try that counts; one that was passed over may still come to connect. */
        private int current;

        /** What was written may have begun, so that no other worker may have it. */
        private boolean written;

        private boolean over;
        private Attempt attempt;

        Errand(RunRequest task, WorkerPool crew, RunListener then, Duration begunAt) {
            this.task = task;
            this.crew = crew;
            this.then = then;
            this.begunAt = begunAt;
        }

        /** To this worker, or to none. */
        private void go(Optional<WorkerId> to) {
            if (to.isEmpty()) {
                crew.unbegun.add();
                finish(RunOutcome.Status.NOT_DISPATCHED, null);
                return;
            }
            worker = to.get();
            triedAt = schedule.now();
            offers++;
            int number = ++current;
            network.connect(
                    "worker",
                    crew.address(worker),
                    made -> new Attempt(this, number, made),
                    () -> notBegun(number));
            schedule.after(CONNECT, () -> notBegun(number));
        }

        private boolean counts(int number) {
            return !over && !written && number == current;
        }

        private void notBegun(int number) {
            if (!counts(number)) {
                return;
            }
            current++;
            Duration now = schedule.now();
            WorkerId before = worker;
            crew.ended(before, RequestOutcome.NEVER_BEGUN, now.minus(triedAt), now);
            boolean again = offers < MOST_TRIES && now.compareTo(task.deadline()) < 0;
            Optional<WorkerId> next =
                    again
                            ? crew.chooseAgain(before, RequestOutcome.NEVER_BEGUN, now)
                            : Optional.empty();
            if (next.isPresent()) {
                crew.elsewhere.add();
            }
            go(next);
        }

        private void opened(Attempt made) {
            if (!counts(made.number)) {
                made.drop(CloseCode.GIVEN_UP);
                return;
            }
            attempt = made;
            made.write(request());
            written = true;
        }

        private UwsgiRequest request() {
            WorkerPoolConfig.Target target = targets.get(task.operationName());
            Map<String, String> vars = new LinkedHashMap<>();
            vars.put("REQUEST_METHOD", target.method());
            vars.put("REQUEST_URI", target.path());
            vars.put("PATH_INFO", target.path());
            vars.put("QUERY_STRING", "");
            vars.put("SERVER_PROTOCOL", "HTTP/1.1");
            vars.put("CONTENT_TYPE", "application/octet-stream");
            vars.put("CONTENT_LENGTH", "" + task.body().length);
            vars.put("HTTP_X_REQUEST_ID", task.requestId());
            if (task.idempotencyKey() != null) {
                vars.put("HTTP_IDEMPOTENCY_KEY", task.idempotencyKey());
            }
            // What is left of its caller's time, what was spent here already taken off.
            vars.put(
                    "HTTP_X_TIME_LEFT_MS",
                    "" + Math.max(0, task.deadline().minus(schedule.now()).toMillis()));
            return new UwsgiRequest(vars, task.body(), false);
        }

        void answered(UwsgiResponse answer) {
            if (over) {
                crew.lateAnswers.add();
                return;
            }
            boolean good = answer.status() >= 200 && answer.status() < 300;
            // What a worker says of the request itself is an answer like any other; of itself it
            // says 5xx.
            boolean well = answer.status() < 500;
            if (!well) {
                crew.failed.add();
            }
            ended(well ? RequestOutcome.ANSWERED : RequestOutcome.FAILED);
            finish(
                    good ? RunOutcome.Status.SUCCEEDED : RunOutcome.Status.FAILED,
                    good ? answer.body() : null);
        }

        /** Its connection ended, or what came on it is no answer: it may have run. */
        void broken() {
            if (over) {
                return;
            }
            crew.failed.add();
            ended(RequestOutcome.FAILED);
            finish(RunOutcome.Status.FAILED, null);
        }

        void giveUp(RequestOutcome end) {
            if (over) {
                return;
            }
            if (!written) {
                // Guards against a throttle that would be untrue later: nothing of it goes out from
                // here on.
                if (worker != null) {
                    ended(RequestOutcome.NEVER_BEGUN);
                }
                finish(RunOutcome.Status.NOT_DISPATCHED, null);
                return;
            }
            crew.silent.add();
            ended(end);
            finish(
                    end == RequestOutcome.GIVEN_UP
                            ? RunOutcome.Status.STOPPED
                            : RunOutcome.Status.FAILED,
                    null);
            if (crew.listening >= WorkerPool.MOST_LATE) {
                attempt.drop(CloseCode.GIVEN_UP);
            } else {
                attempt.listen();
            }
        }

        private void ended(RequestOutcome end) {
            Duration now = schedule.now();
            crew.ended(worker, end, now.minus(triedAt), now);
        }

        private void finish(RunOutcome.Status end, byte[] result) {
            over = true;
            errands.remove(task.requestId(), this);
            Duration took = schedule.now().minus(begunAt);
            // In the next gathering: the decisions may be at work on what began it.
            schedule.post(() -> then.onRunFinished(end, took, result));
        }
    }

    /** One connection to a worker. */
    private final class Attempt implements ConnectionHandler {
        private final Errand errand;
        private final int number;
        private final Connection connection;
        private final UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(LONGEST);
        private boolean listens;

        Attempt(Errand errand, int number, Connection connection) {
            this.errand = errand;
            this.number = number;
            this.connection = connection;
            schedule.post(
                    () -> {
                        if (!connection.open()) {
                            return; // its end follows
                        }
                        attempts.add(this);
                        errand.opened(this);
                    });
        }

        void write(UwsgiRequest request) {
            for (byte[] part : request.encode()) {
                connection.write(part);
            }
        }

        /**
         * Its run was given up: a late answer is counted, for as long as late ones are listened
         * for.
         */
        void listen() {
            listens = true;
            errand.crew.listening++;
            schedule.after(errand.crew.late, () -> drop(CloseCode.GIVEN_UP));
        }

        void drop(CloseCode code) {
            if (connection.open()) {
                connection.drop(code);
            }
        }

        @Override
        public Runnable received(byte[] bytes, int from, int to) {
            try {
                UwsgiResponse whole = decoder.read(bytes, from, to);
                return whole == null ? null : () -> end(whole);
            } catch (UwsgiException e) {
                String fault = e.getMessage();
                return () -> {
                    if (!connection.open()) {
                        return;
                    }
                    LOG.warning("bad answer from worker " + errand.worker + ": " + fault);
                    connection.drop(CloseCode.BAD_INPUT);
                };
            }
        }

        private void end(UwsgiResponse answer) {
            if (!connection.open()) {
                return;
            }
            if (errand.attempt != this) {
                connection.drop(CloseCode.BAD_INPUT); // it answers what nobody has asked
                return;
            }
            errand.answered(answer);
            connection.close(CloseCode.ANSWERED);
        }

        @Override
        public void inputEnded() {
            UwsgiResponse answer = errand.attempt == this ? decoder.ended() : null;
            if (answer != null) {
                errand.answered(answer);
            }
            drop(answer != null ? CloseCode.ANSWERED : CloseCode.PEER_CLOSED);
        }

        @Override
        public void ended(CloseCode code) {
            attempts.remove(this);
            if (listens) {
                errand.crew.listening--;
            }
            if (errand.attempt == this) {
                errand.broken(); // where it was answered, that is over
            } else {
                errand.notBegun(number);
            }
        }
    }
}
