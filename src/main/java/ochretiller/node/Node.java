package ochretiller.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import ochretiller.audit.Chain;
import ochretiller.fleet.epochs.Rollout;
import ochretiller.fleet.members.Address;
import ochretiller.fleet.peers.Fleet;
import ochretiller.fleet.peers.FleetSettings;
import ochretiller.fleet.peers.Versions;
import ochretiller.fleet.versions.Counts;
import ochretiller.front.Callers;
import ochretiller.front.Ending;
import ochretiller.front.Failure;
import ochretiller.front.Try;
import ochretiller.gateway.Gateway;
import ochretiller.gateway.Health;
import ochretiller.keys.Keys;
import ochretiller.metrics.Metrics;
import ochretiller.metrics.MetricsFile;
import ochretiller.model.Operation;
import ochretiller.net.Network;
import ochretiller.operator.Operator;
import ochretiller.operator.OperatorFile;
import ochretiller.paths.PathPattern;
import ochretiller.policy.Choice;
import ochretiller.processor.Link;
import ochretiller.records.Records;
import ochretiller.remembered.Mark;
import ochretiller.roster.Roster;
import ochretiller.settings.MalformedException;
import ochretiller.settings.Settings;
import ochretiller.store.Disk;
import ochretiller.uwsgi.Route;
import ochretiller.uwsgi.UwsgiFront;
import ochretiller.workers.Plan;
import ochretiller.workers.Workers;

/** One server from its start through its drain to its stop. */
public final class Node {
    private static final Logger LOG = Logger.getLogger(Node.class.getName());

    /** Time to write out the last answers and end before the kill. */
    private static final Duration ENDING = Duration.ofMillis(150);

    /**
     * A request may cross the word to leave for 50 ms; twice that is waited before connections are
     * closed.
     */
    private static final Duration CROSSING = Duration.ofMillis(100);

    /** Time for the process to end in once its threads have nothing to do any more. */
    private static final Duration EXIT = Duration.ofMillis(70);

    /** Time for the last of what runs to be answered, and for what crossed to be turned away. */
    private static final Duration CLOSING = CROSSING.plusMillis(100);

    private static final Duration LOOK = Duration.ofMillis(20);

    /** Room for what the clock goes on between a mark's reckoning and its writing. */
    private static final Duration SLACK = Duration.ofSeconds(2);

    /** The last moment for one that waits for the processor, before it is due. */
    private static final Duration LEAD = Duration.ofMillis(120);

    /** Part of the memory limit that kept results may take. */
    private static final int KEYS_PART = 8;

    /**
     * Invocations of each operation before the first real one: enough that what each passes through
     * is compiled.
     */
    private static final int WARM_UP = 250;

    /** Part of the descriptors that connections to workers may take; callers have half of them. */
    private static final int POOLS_PART = 3;

    /** Part of the descriptors that calls may take. */
    private static final int CALLS_PART = 8;

    private final Path file;
    private final Configuration configuration;
    private final Loop loop = new Loop();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Network network;
    private final Link link;
    private final Records records;
    private final Roster roster;
    private final Health health;
    private final Callers callers;
    private final Gateway gateway;

    /** Null where nobody speaks uwsgi. */
    private final UwsgiFront uwsgi;

    private final Operator operator;
    private final Supplier<Operator> operatorNow;

    /** Null where the processor carries out all runs. */
    private final Workers workers;

    private final Metrics metrics = new Metrics();
    private final Recall recall;

    /** Null where this server takes part in no fleet. */
    private final Fleet fleet;

    /** Repeats of what a former process has left, read before the processor was there. */
    private final List<Try> early = new ArrayList<>();

    /** Null where nothing is kept of what was acted on. */
    private final Auditor auditor;

    private Host host;
    private boolean leaving;

    /** A server whose operators' file does not change. */
    public Node(Path file, Operator operator, Disk disk) throws IOException {
        this(file, operator, () -> operator, disk);
    }

    /**
     * A server that does not listen yet.
     *
     * @param operatorNow reads the operators' file again
     * @param disk where results are remembered, if the operators ask for it
     */
    public Node(Path file, Operator operator, Supplier<Operator> operatorNow, Disk disk)
            throws IOException {
        this.file = file;
        this.operator = operator;
        this.operatorNow = operatorNow;
        this.configuration = Configuration.read(file);
        configuration.holdsFor(Integer.getInteger("ochretiller.sizedForMb"));
        network = new Network(loop, memory());
        link =
                new Link(
                        loop,
                        network,
                        configuration.processor(),
                        List.of(configuration.settings().text("familyInfo.meters").split(",")),
                        this::up,
                        (rid, body) -> host.asked(rid, body));
        records =
                new Records(
                        loop,
                        network,
                        configuration.records(),
                        configuration.sockets() / CALLS_PART);
        roster = new Roster(loop, configuration.roster(), configuration.name());
        health = new Health(link::trial);
        callers =
                new Callers(
                        loop,
                        configuration.sockets() / 2,
                        patience(),
                        configuration.settings().span("familyInfo.idleNs", Duration.ZERO),
                        this::arrived,
                        inv -> {
                            if (host != null) {
                                host.gone(inv);
                            }
                        });
        gateway = new Gateway(callers, configuration.operations(), health, this::sinceStart);
        uwsgi =
                operator.uwsgi()
                        .map(
                                told ->
                                        new UwsgiFront(
                                                callers,
                                                loop,
                                                routes(operator, configuration),
                                                told.callerVar(),
                                                told.timeVar(),
                                                this::sinceStart,
                                                health::good,
                                                new SplittableRandom(configuration.seed()).split()))
                        .orElse(null);
        workers =
                operator.pools().isEmpty()
                        ? null
                        : new Workers(
                                loop,
                                network,
                                plans(operator, configuration),
                                new SplittableRandom(configuration.seed() + 1).split(),
                                metrics);
        if (operator.remember().isPresent()) {
            Duration longest = longest();
            recall =
                    new Recall(
                            loop,
                            operator.remember().get(),
                            operator.fleet().map(FleetSettings::copies).orElse(null),
                            disk,
                            longest.plus(SLACK),
                            new SplittableRandom(configuration.seed()).split(),
                            metrics);
        } else {
            recall = null;
        }
        auditor =
                operator.audit().isEmpty()
                        ? null
                        : new Auditor(
                                loop,
                                operator.audit().get(),
                                configuration.name(),
                                this::unixMs,
                                metrics);
        fleet = operator.fleet().isEmpty() ? null : fleet(operator.fleet().get());
        if (fleet != null && fleet.copies() != null && recall != null) {
            fleet.copies().remembers(recall);
        }
        if (auditor != null || fleet != null && fleet.versions() != null) {
            callers.ends(this::answered);
        }
    }

    private Duration patience() {
        return configuration.operations().values().stream()
                .map(Operation::clientTimeout)
                .max(Duration::compareTo)
                .orElse(LOOK);
    }

    /**
     * No mark lives longer: the longest window of an operation and its client timeout, once for
     * each end.
     */
    private Duration longest() {
        return configuration.operations().values().stream()
                .filter(Operation::tokened)
                .map(each -> each.window().plus(each.clientTimeout().multipliedBy(2)))
                .max(Duration::compareTo)
                .orElse(LOOK);
    }

    private Fleet fleet(FleetSettings told) throws IOException {
        copies(told, configuration);
        String build = Node.class.getPackage().getImplementationVersion();
        InetSocketAddress at =
                operator.uwsgi().map(Operator.Uwsgi::listen).orElse(configuration.listen());
        return new Fleet(
                loop,
                network,
                told,
                configuration.name(),
                build == null ? "unpackaged" : build,
                new Address(at.getAddress().getHostAddress(), at.getPort()),
                new SplittableRandom(configuration.seed() + 2),
                metrics,
                longest(),
                recall == null ? null : recall.store(),
                (member, there) -> {
                    if (workers != null && member.serves() != null) {
                        workers.seen(member.serves().toString(), there);
                    }
                },
                new Acting(),
                () ->
                        new Thread(() -> System.exit(0), "leave")
                                .start()); // the hook that a signal would run drains
    }

    /** Holds what the operators say of copies against the server's name and operations. */
    public static void copies(FleetSettings told, Configuration configuration) {
        if (told.copies() == null) {
            return;
        }
        if (told.copies().voters().contains(configuration.name())
                && told.copies().voterFile() == null) {
            throw new MalformedException(
                    "fleet: " + configuration.name() + " is a voter and needs voter_file");
        }
        for (String operation : told.copies().modes().byOperation().keySet()) {
            if (!configuration.operations().containsKey(operation)) {
                throw new MalformedException("fleet: modes: no operation " + operation);
            }
        }
    }

    /**
     * Holds the operators' routes against the operations; a route that cannot be is told, one that
     * is odd is logged.
     */
    public static List<Route> routes(Operator operator, Configuration configuration) {
        Map<String, Operation> operations = configuration.operations();
        List<Route> routes = new ArrayList<>();
        for (Operator.Route told : operator.uwsgi().map(Operator.Uwsgi::routes).orElse(List.of())) {
            Operation operation = operations.get(told.operation());
            if (operation == null) {
                throw new MalformedException(
                        "route " + told.path() + ": no operation " + told.operation());
            }
            routes.add(new Route(told.method(), PathPattern.of(told.path()), operation, told.kb()));
        }
        Route.check(routes).forEach(LOG::warning);
        return routes;
    }

    /** Holds the operators' pools against the operations and the descriptors. */
    public static List<Plan> plans(Operator operator, Configuration configuration) {
        Map<String, Operation> operations = configuration.operations();
        List<Plan> plans = new ArrayList<>();
        long connections = 0;
        for (Operator.Workers told : operator.pools()) {
            List<Plan.Target> targets = new ArrayList<>();
            for (Operator.Run run : told.runs()) {
                if (!operations.containsKey(run.operation())) {
                    throw new MalformedException(
                            "pool " + told.name() + ": no operation " + run.operation());
                }
                targets.add(new Plan.Target(run.operation(), run.method(), run.path()));
            }
            Plan plan =
                    new Plan(
                            told.name(),
                            told.settings(),
                            told.late(),
                            told.addresses(),
                            List.copyOf(targets));
            connections += plan.connections();
            plans.add(plan);
        }
        if (connections > configuration.sockets() / POOLS_PART) {
            throw new MalformedException(
                    "the pools may open "
                            + connections
                            + " connections, over 1/"
                            + POOLS_PART
                            + " of the "
                            + configuration.sockets()
                            + " descriptors: lower most_in_flight");
        }
        return plans;
    }

    /** Bytes that the server may take. */
    private long memory() {
        return configuration.memoryMb() * 1024L * 1024L;
    }

    /** All that is to be done before anything is listened for. */
    public void prepare() throws IOException {
        if (recall != null) {
            recall.start();
        }
        if (auditor != null) {
            auditor.start();
        }
        operator.metrics()
                .ifPresent(
                        figures -> new MetricsFile(metrics, figures.file()).start(figures.every()));
        Choice unused =
                Settings.choice(
                        configuration.settings(),
                        new SplittableRandom(configuration.seed()),
                        false);
        new WarmUp(unused).work(List.copyOf(configuration.operations().values()), WARM_UP);
    }

    /** Listens; a failure to do so is the caller's to tell. */
    public void listen() throws IOException {
        network.listen("gateway", configuration.listen(), gateway::accepted);
        if (uwsgi != null) {
            network.listen("uwsgi", operator.uwsgi().orElseThrow().listen(), uwsgi::accepted);
        }
        link.connect();
        if (fleet != null) {
            fleet.start();
        }
        loop.post(roster::start);
    }

    /**
     * The file has changed, from any thread: each part moves to its new address by itself. All else
     * stays as it was.
     */
    public void reload() {
        // Read on the caller's thread: a file and a schema are not the loop's to wait for.
        Configuration next;
        List<Plan> plans;
        try {
            next = Configuration.read(file);
            plans = workers == null ? List.of() : plans(operatorNow.get(), next);
            if (fleet != null) {
                fleet.reload();
            }
        } catch (MalformedException e) {
            LOG.warning("stays with its configuration: " + e.getMessage());
            return;
        }
        loop.post(
                () -> {
                    if (workers != null) {
                        workers.become(plans);
                    }
                    LOG.info("takes the addresses of its configuration again");
                    link.move(next.processor());
                    records.move(next.records());
                    roster.move(next.roster());
                });
    }

    /** Serves until the drain is over. */
    public void run() {
        LOG.info(() -> configuration.name() + " listens on " + configuration.listen());
        loop.run(network::flush);
        ended.countDown();
    }

    /**
     * The notice to leave, from any thread; a second one changes nothing. Returns once the drain is
     * over.
     */
    public void drain() throws InterruptedException {
        loop.post(this::leave);
        ended.await(configuration.stop().toMillis(), TimeUnit.MILLISECONDS);
    }

    /** The processor is there: the decisions begin, on a clock that started with it. */
    private void up(boolean cold, Duration age) {
        if (host != null) {
            return;
        }
        LOG.info(
                () ->
                        "the processor is up, "
                                + (cold ? "cold" : "warm")
                                + ", started "
                                + age.toMillis()
                                + " ms ago");
        Choice choice =
                Settings.choice(
                        configuration.settings(), new SplittableRandom(configuration.seed()), cold);
        Keys keys =
                new Keys(
                        memory() / KEYS_PART,
                        configuration.settings().span("familyInfo.freshNs", Duration.ZERO));
        host =
                new Host(
                        loop,
                        age.minus(loop.now()),
                        choice,
                        callers,
                        health,
                        keys,
                        link,
                        workers,
                        records,
                        recall,
                        fleet == null ? null : fleet.copies(),
                        fleet == null ? null : fleet.versions(),
                        auditor == null ? inv -> {} : auditor::begun);
        host.start();
        if (recall != null) {
            host.restore(configuration.operations(), age);
        }
        if (leaving) {
            host.leave(Duration.ZERO);
        }
        List<Try> waited = List.copyOf(early);
        early.clear();
        for (Try inv : waited) {
            if (!inv.answered()) {
                host.arrived(inv);
            }
        }
    }

    /**
     * A Unix time on the schedule; a clock that was set back makes nothing come from the future.
     */
    private Duration sinceStart(long unixMillis) {
        return loop.now().minusMillis(Math.max(0, unixMs() - unixMillis));
    }

    private long unixMs() {
        return System.currentTimeMillis() + operator.drill().clock().toMillis();
    }

    private void arrived(Try inv) {
        if (fleet != null && fleet.versions() != null) {
            inv.bind(fleet.versions().acting());
        }
        Mark mark = host != null || recall == null ? null : recall.restored(inv.token);
        if (host != null) {
            host.arrived(inv);
        } else if (mark == null) {
            callers.throttle(inv, Duration.ZERO, false); // without a processor nothing can have run
        } else {
            repeatBefore(inv, mark);
        }
    }

    /** What became of it counts for the version that it was read under. */
    private void answered(Try inv, Ending how) {
        if (auditor != null) {
            auditor.answered(inv, how);
        }
        if (fleet == null || fleet.versions() == null) {
            return;
        }
        boolean good = how == Ending.SUCCEEDED || how == Ending.REPLAYED;
        boolean late =
                good && loop.now().minus(inv.arrived).compareTo(inv.operation.objective()) > 0;
        double value = inv.operation.value();
        fleet.versions()
                .count(
                        inv.version(),
                        new Counts(
                                1,
                                how == Ending.THROTTLED ? 1 : 0,
                                how == Ending.ERRORED ? 1 : 0,
                                late ? 1 : 0,
                                !good ? 0 : late ? value * inv.operation.lateShare() : value,
                                value));
    }

    /** What acts on versions here: the pools. */
    private final class Acting implements Versions.Acts {
        private List<Plan> plans(byte[] version) {
            Operator told =
                    version == null
                            ? operatorNow.get()
                            : operator.with(
                                    OperatorFile.version(
                                            new String(version, StandardCharsets.UTF_8),
                                            "the version"));
            List<Plan> plans = Node.plans(told, configuration);
            Set<String> here =
                    operator.pools().stream()
                            .map(Operator.Workers::name)
                            .collect(Collectors.toSet());
            Set<String> there = plans.stream().map(Plan::name).collect(Collectors.toSet());
            if (!here.equals(there)) {
                throw new MalformedException(
                        "it has the pools " + there + ", and this server was started with " + here);
            }
            return plans;
        }

        @Override
        public String check(byte[] version) {
            try {
                plans(version);
                return null;
            } catch (MalformedException e) {
                return e.getMessage();
            }
        }

        @Override
        public String become(byte[] version) {
            List<Plan> plans;
            try {
                plans = plans(version);
            } catch (MalformedException e) {
                return e.getMessage();
            }
            // In the next gathering: it is acted on as a whole between two.
            if (workers != null) {
                loop.post(() -> workers.become(plans));
            }
            return null;
        }

        @Override
        public void told(Versions.What what, Rollout.Version version, String text) {
            if (auditor != null) {
                auditor.told(what, version.number(), version.hash(), text);
            }
        }

        @Override
        public Chain.Head audited() {
            return auditor == null ? Chain.Head.NONE : auditor.head();
        }
    }

    /**
     * A repeat of what a former process has run, before the processor is there: it is never
     * throttled.
     */
    private void repeatBefore(Try inv, Mark mark) {
        if (!mark.operation().equals(inv.operation.name()) || !mark.sameBody(Keys.hash(inv.body))) {
            callers.fail(inv, Failure.OTHER_BODY);
        } else if (mark.state() == Mark.State.LOST) {
            callers.fail(inv, Failure.FAILED);
        } else if (mark.state() == Mark.State.SUCCEEDED) {
            recall.result(
                    inv.token,
                    result -> {
                        if (result == null) {
                            callers.fail(inv, Failure.NO_RESULT);
                        } else {
                            callers.succeed(inv, result, true);
                        }
                        callers.forget(inv);
                    });
            return;
        } else {
            early.add(inv);
            Duration due =
                    inv.arrived.plus(inv.operation.clientTimeout()).minus(LEAD).minus(loop.now());
            loop.after(
                    due.isNegative() ? Duration.ZERO : due,
                    () -> {
                        if (!early.remove(inv)) {
                            return;
                        }
                        callers.fail(inv, Failure.UNKNOWN_END);
                        callers.forget(inv);
                    });
            return;
        }
        callers.forget(inv);
    }

    private void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        LOG.info("leaves");
        Duration last = configuration.stop().minus(ENDING);
        roster.leave();
        if (fleet != null) {
            fleet.leave();
        }
        health.set(false, true);
        if (host != null) {
            host.leave(last);
        }
        // Gateways learn seconds late that it leaves. What it turns away behind the grace goes on
        // to other servers at once,
        // what finds no listener does not: so the server stays until just before the kill.
        Duration closing = last.minus(CLOSING);
        loop.after(
                closing.isNegative() ? Duration.ZERO : closing,
                () -> {
                    network.closeListeners();
                    callers.leave();
                    Duration until = loop.now().plus(last.minus(closing));
                    loop.after(CROSSING, () -> endWhenAnswered(until));
                });
    }

    private void endWhenAnswered(Duration until) {
        if (callers.openTries() > 0 && loop.now().compareTo(until) < 0) {
            loop.after(LOOK, () -> endWhenAnswered(until));
            return;
        }
        callers.close();
        link.close();
        records.close();
        if (workers != null) {
            workers.close();
        }
        if (recall != null) {
            recall.close();
        }
        if (auditor != null) {
            auditor.close();
        }
        if (fleet != null) {
            fleet.close();
        }
        network.flush();
        Duration kill = until.plus(ENDING).minus(EXIT);
        loop.after(LOOK, () -> endWhenRead(kill));
    }

    /**
     * Guards against last answers that are cut off: callers have them once they have ended their
     * side.
     */
    private void endWhenRead(Duration until) {
        if (callers.connections() > 0 && loop.now().compareTo(until) < 0) {
            loop.after(LOOK, () -> endWhenRead(until));
            return;
        }
        callers.drop();
        // In the next gathering: each connection leaves its line before.
        loop.after(
                LOOK,
                () -> {
                    LOG.info("ends");
                    network.stop();
                    loop.stop();
                });
    }
}
