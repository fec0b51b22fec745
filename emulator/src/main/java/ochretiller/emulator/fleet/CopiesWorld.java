package ochretiller.emulator.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ochretiller.emulator.core.Events;
import ochretiller.emulator.core.Seeds;
import ochretiller.fleet.copies.Claims;
import ochretiller.fleet.copies.CopyMessage;
import ochretiller.fleet.copies.Keeper;
import ochretiller.fleet.copies.Outcome;
import ochretiller.fleet.copies.Verdict;
import ochretiller.fleet.epochs.EpochMessage;
import ochretiller.fleet.epochs.Layout;
import ochretiller.fleet.epochs.Voter;
import ochretiller.fleet.epochs.Wish;

/**
 * A fleet that keeps claims and results for one another, in virtual time: voters, keepers and the way of keyed invocations are
 * the server's own decisions; callers bring repeats to any server.
 */
public final class CopiesWorld {
    private static final int FACTOR = 3;
    private static final int VOTERS = 3;
    private static final int MOST = 100_000;
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration SPEAKS = Duration.ofMillis(500);
    private static final Duration CALM = Duration.ofSeconds(2);
    /** A token's window, the longest that there is, and the due time of a try. */
    private static final Duration WINDOW = Duration.ofSeconds(20);
    private static final Duration DUE = Duration.ofSeconds(4);
    /** The view knows of what has come or gone so much later. */
    private static final double SEES_S = 1.5;
    /** A socket's room for a paused process. */
    private static final int ROOM = 5_000;

    private final FleetScript script;
    private final Plan plan;
    private final Events events = new Events();
    private final Faults faults;
    private final SplittableRandom links;
    private final SplittableRandom chance;
    private final double lostDisks;
    private final boolean claims;
    private final Map<Integer, Host> hosts = new TreeMap<>();
    private final Map<String, Token> tokens = new HashMap<>();
    private final Outcomes outcomes = new Outcomes();

    /** What was seen. */
    public static final class Outcomes {
        public int tries;
        public int succeeded;
        public int replayed;
        public int throttled;
        public int errored;
        public int otherBody;
        public int unanswered;
        public int runs;
        public int epochs;
        public int behind;
        public long messages;
        public int conflicts;
        /** Milliseconds from a claim to its majority. */
        public final List<Double> claimMs = new ArrayList<>();
        public final List<String> broken = new ArrayList<>();

        public double claimMs(double percentile) {
            if (claimMs.isEmpty()) return Double.NaN;
            claimMs.sort(null);
            return claimMs.get((int) Math.min(claimMs.size() - 1, claimMs.size() * percentile / 100));
        }
    }

    private static final class Token {
        final String body;
        final List<Double> ranAt = new ArrayList<>();
        final Set<String> results = new HashSet<>();

        Token(String body) {
            this.body = body;
        }
    }

    private record Sent(String from, Object message) {
    }

    private final class Host {
        final int number;
        final String name;
        final Layout.Server server;
        Keeper keeper;
        Keeper.Disk keeperDisk;
        Voter voter;
        Voter.Promised voterDisk;
        Claims own;
        Wish wish;
        boolean up;
        boolean paused;
        boolean everUp;
        double changedS;
        long life;
        long attempted;
        final Deque<Sent> waits = new ArrayDeque<>();
        final Map<String, String> local = new HashMap<>();

        Host(int number) {
            this.number = number;
            this.name = "m" + number;
            this.server = new Layout.Server(name, "z" + script.zone(number));
        }

        void start(boolean keepsDisk) {
            up = true;
            paused = false;
            changedS = events.seconds();
            life++;
            waits.clear();
            local.clear();
            boolean first = !everUp;
            everUp = true;
            if (!keepsDisk) {
                keeperDisk = null;
                voterDisk = null;
            }
            if (number <= VOTERS) {
                Set<String> names = new HashSet<>();
                for (int i = 1; i <= Math.min(VOTERS, script.members()); i++) names.add("m" + i);
                voter = new Voter(name, names, voterDisk, FACTOR, first, chance.nextLong());
            }
            Layout known = voter != null ? voter.agreed() : keeperDisk != null ? keeperDisk.layout() : Layout.none(FACTOR);
            // Without its disk it knows of no epoch: the first that it is told of, it takes as one that it may have been in.
            keeper = keeperDisk == null && !first ? null : new Keeper(name, keeperDisk, known, MOST, WINDOW.plusSeconds(10), events.now());
            own = new Claims(name, life, known, chance.split());
            wish = new Wish(CALM, FACTOR);
            tick(life);
            speak(life);
        }

        /** What was decided was on disk before it was said: the disk is as the decisions are at the end. */
        void end() {
            keeperDisk = keeper == null ? null : keeper.disk();
            voterDisk = voter == null || voter.blank() ? null : voter.promised();
            up = false;
            changedS = events.seconds();
        }

        private void tick(long mine) {
            if (!up || life != mine) return;
            if (!paused) {
                Duration now = events.now();
                own.tick(now);
                if (keeper != null) {
                    keeper.tick(now);
                    if (chance.nextInt(50) == 0) keeper.compare(chance);
                    outcomes.behind = Math.max(outcomes.behind, keeper.behind());
                }
                if (voter != null) vote(now);
                carryOut();
            }
            events.after(TICK.plus(Duration.ofNanos((long) (faults.lateMs(number, played()) * 1e6))), () -> tick(mine));
        }

        private void vote(Duration now) {
            if (voter.blank()) {
                if (chance.nextInt(10) == 0) voter.ask();
                return;
            }
            Map<String, Boolean> view = new HashMap<>();
            List<Layout.Server> servers = new ArrayList<>();
            for (Host each : hosts.values()) {
                if (!each.everUp) continue;
                boolean is = each.up && !each.paused;
                boolean lately = events.seconds() - each.changedS < SEES_S;
                view.put(each.name, lately ? !is : is);
                servers.add(each.server);
            }
            wish.seen(view, now);
            if (voter.attempting() && events.done() - attempted < 2_000 || chance.nextInt(10) != 0) return;
            wish.next(voter.agreed(), servers, now).ifPresent(layout -> {
                attempted = events.done();
                voter.attempt(layout);
            });
        }

        private void speak(long mine) {
            if (!up || life != mine) return;
            if (!paused && voter != null && !voter.blank() && voter.agreed().epoch() > 0) {
                for (Host each : hosts.values()) if (each != this) send(each.number, new EpochMessage.Agreed(voter.agreed()));
            }
            events.after(SPEAKS, () -> speak(mine));
        }

        void take(Sent sent) {
            if (!up) return;
            if (paused) {
                if (waits.size() < ROOM) waits.add(sent);
                return;
            }
            Duration now = events.now();
            if (sent.message instanceof EpochMessage message) {
                if (voter != null) voter.received(sent.from, message);
                if (message instanceof EpochMessage.Agreed agreed) learn(agreed.layout());
            } else if (sent.message instanceof CopyMessage message) {
                if (message instanceof CopyMessage.Fetch fetch) learn(fetch.layout());
                if (keeper != null) keeper.received(sent.from, message, now);
                own.received(sent.from, message, now);
            }
            carryOut();
        }

        private void learn(Layout layout) {
            if (keeper == null) keeper = new Keeper(name, null, layout, MOST, WINDOW.plusSeconds(10), events.now());
            else keeper.become(layout, events.now());
            own.become(layout, events.now());
            outcomes.epochs = (int) Math.max(outcomes.epochs, layout.epoch());
        }

        void carryOut() {
            if (voter != null) {
                learnOwn();
                for (Voter.Out out : voter.outs()) {
                    if (out.to().isPresent()) send(number(out.to().get()), out.message());
                    else for (Host each : hosts.values()) if (each != this) send(each.number, out.message());
                }
            }
            if (keeper != null) {
                for (Keeper.Out out : keeper.outs()) send(number(out.to()), out.message());
                outcomes.conflicts = (int) Math.max(outcomes.conflicts, keeper.conflicts());
            }
            for (Keeper.Out out : own.outs()) send(number(out.to()), out.message());
        }

        private void learnOwn() {
            if (voter.agreed().epoch() > 0 && (keeper == null || keeper.layout().epoch() < voter.agreed().epoch() || own.layout().epoch() < voter.agreed().epoch())) {
                learn(voter.agreed());
            }
        }

        private int number(String other) {
            return Integer.parseInt(other.substring(1));
        }

        private void send(int to, Object message) {
            outcomes.messages++;
            Host at = hosts.get(to);
            if (at == null) return;
            List<Faults.Copy> copies = to == number ? List.of(new Faults.Copy(0, false)) : faults.fate(number, to, played());
            for (Faults.Copy copy : copies) {
                if (copy.spoilt()) continue;
                double ms = to == number ? 0 : script.delayMs() + script.jitterMs() * links.nextDouble() + copy.delayMs() + faults.lateMs(to, played());
                events.after(ms / 1e3, () -> hosts.get(to).take(new Sent(name, message)));
            }
        }
    }

    /**
     * @param lostDisks share of kills that take the disk along
     * @param claims    whether a run is claimed; without it each server knows of its own runs alone
     */
    public CopiesWorld(FleetScript script, long seed, double lostDisks, boolean claims) {
        this.script = script;
        this.plan = Plan.of(script);
        Seeds seeds = new Seeds(seed);
        this.faults = new Faults(plan, seeds.of("faults"));
        this.links = seeds.of("links");
        this.chance = seeds.of("chance");
        this.lostDisks = lostDisks;
        this.claims = claims;
    }

    /** Plays it: the fleet forms, then callers ask while the script's faults come and go, and some time after. */
    public Outcomes play(int tokenCount, double forms) {
        faultsShift = forms;
        for (Plan.Slot slot : plan.slots()) hosts.put(slot.number(), new Host(slot.number()));
        for (Plan.Action action : plan.actions()) {
            double at = action.act() == Plan.Act.START && action.atS() <= script.startS() ? action.atS() : action.atS() + forms;
            events.after(at, () -> act(action));
        }
        double span = plan.lastS() + 8;
        for (int i = 0; i < tokenCount; i++) {
            String token = "token-" + i;
            double at = forms + chance.nextDouble() * span;
            Token known = new Token("body-" + i);
            tokens.put(token, known);
            int times = 1 + chance.nextInt(4);
            for (int t = 0; t < times; t++) {
                double later = t == 0 ? 0 : switch (chance.nextInt(3)) {
                    case 0 -> 0.001 * chance.nextDouble();
                    case 1 -> chance.nextDouble();
                    default -> 12 * chance.nextDouble();
                };
                String body = chance.nextInt(20) == 0 ? "other" : known.body;
                events.after(at + later, () -> ask(token, body));
            }
        }
        events.run(forms + span + 25);
        return outcomes;
    }

    /** Time on the script, which begins when the fleet has formed. */
    private double played() {
        return events.seconds() - faultsShift;
    }

    private double faultsShift;

    private void act(Plan.Action action) {
        Host host = hosts.get(action.slot());
        switch (action.act()) {
            case START -> {
                if (!host.up) host.start(host.everUp && chance.nextDouble() >= lostDisks || !host.everUp);
            }
            case KILL, LEAVE -> {
                if (host.up) host.end();
            }
            case PAUSE -> {
                if (host.up) {
                    host.paused = true;
                    host.changedS = events.seconds();
                }
            }
            case RESUME -> {
                if (!host.up || !host.paused) return;
                host.paused = false;
                host.changedS = events.seconds();
                host.own.tick(events.now());
                host.carryOut();
                while (!host.waits.isEmpty() && host.up) host.take(host.waits.poll());
            }
            default -> throw new IllegalStateException();
        }
    }

    private void ask(String token, String body) {
        List<Host> open = new ArrayList<>();
        for (Host each : hosts.values()) if (each.up && !each.paused) open.add(each);
        if (open.isEmpty()) return;
        Host host = open.get(chance.nextInt(open.size()));
        long life = host.life;
        outcomes.tries++;
        double at = events.seconds();
        Duration due = events.now().plus(DUE);
        boolean[] answered = {false};
        // What has no end by its due time is errored then, whatever becomes of it, by a server that is there to say so.
        events.after(DUE, () -> {
            if (answered[0]) return;
            answered[0] = true;
            if (host.life != life || !host.up || host.paused) outcomes.unanswered++;
            else outcomes.errored++;
        });
        if (!claims) {
            // Each server knows of its own runs alone.
            String kept = host.local.putIfAbsent(token, "");
            if (kept != null) {
                answered[0] = true;
                if (kept.isEmpty()) outcomes.errored++;
                else if (kept.startsWith(body + " by ")) succeeded(token, body, kept);
                else outcomes.otherBody++;
                return;
            }
            run(host, life, token, body, null, due, answered);
            return;
        }
        host.own.claim(token, body, due.minusMillis(500), events.now().plus(WINDOW), events.now(), verdict -> {
            if (answered[0]) {
                // Its caller has been answered: nothing may begin for it.
                if (verdict.what() == Verdict.What.RUN) host.own.neverRan(verdict.claim(), events.now().plus(WINDOW), events.now());
                return;
            }
            switch (verdict.what()) {
                case RUN -> {
                    outcomes.claimMs.add((events.seconds() - at) * 1e3);
                    run(host, life, token, body, verdict, due, answered);
                }
                case REPLAY -> {
                    answered[0] = true;
                    outcomes.replayed++;
                    succeeded(token, body, verdict.outcome().result());
                }
                case THROTTLED -> {
                    answered[0] = true;
                    outcomes.throttled++;
                }
                case OTHER_BODY -> {
                    answered[0] = true;
                    outcomes.otherBody++;
                }
                default -> {
                    answered[0] = true;
                    outcomes.errored++;
                }
            }
        });
        host.carryOut();
    }

    private void run(Host host, long life, String token, String body, Verdict verdict, Duration due, boolean[] answered) {
        Token known = tokens.get(token);
        outcomes.runs++;
        for (double before : known.ranAt) {
            if (events.seconds() - before < WINDOW.toSeconds()) broken(token + " was run again by " + host.name + ", " + verdict);
        }
        known.ranAt.add(events.seconds());
        double work = chance.nextInt(8) == 0 ? 3 * chance.nextDouble() : 0.05 * chance.nextDouble();
        String result = body + " by " + host.name + " " + life + " " + outcomes.runs;
        events.after(work, () -> finish(host, life, token, body, result, verdict, due, answered));
    }

    private void finish(Host host, long life, String token, String body, String result, Verdict verdict, Duration due, boolean[] answered) {
        if (!host.up || host.life != life) return;
        if (host.paused) {
            events.after(0.1, () -> finish(host, life, token, body, result, verdict, due, answered));
            return;
        }
        if (verdict == null) {
            host.local.put(token, result);
            if (answered[0]) return;
            answered[0] = true;
            succeeded(token, body, result);
            return;
        }
        host.own.ended(verdict.claim(), new Outcome(true, body, result), due, events.now().plus(WINDOW), events.now(), kept -> {
            if (answered[0]) return;
            answered[0] = true;
            // Not kept by a majority in time: nothing is claimed that could be lost.
            if (kept) succeeded(token, body, result);
            else outcomes.errored++;
        });
        host.carryOut();
    }

    private void succeeded(String token, String body, String result) {
        outcomes.succeeded++;
        Token known = tokens.get(token);
        known.results.add(result);
        if (known.results.size() > 1) broken(token + " was answered with two results " + known.results);
        if (!result.startsWith(body + " by ")) broken(token + " was answered with another body's result");
    }

    private void broken(String text) {
        if (outcomes.broken.size() < 20) outcomes.broken.add(String.format(Locale.ROOT, "%.3f s: %s", events.seconds() - faultsShift, text));
    }

    /** The layout that most servers know of at the end. */
    public Optional<Layout> layout() {
        return hosts.values().stream().filter(each -> each.up && each.keeper != null).map(each -> each.keeper.layout())
            .max((a, b) -> Long.compare(a.epoch(), b.epoch()));
    }

    /** Ranges that are not whole at servers that are up. */
    public int behind() {
        return hosts.values().stream().filter(each -> each.up && each.keeper != null).mapToInt(each -> each.keeper.behind()).sum();
    }
}
