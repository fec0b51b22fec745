package ochretiller.emulator.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import net.openhft.hashing.LongHashFunction;
import ochretiller.fleet.members.Address;
import ochretiller.fleet.members.Change;
import ochretiller.fleet.members.Member;
import ochretiller.fleet.members.MemberId;
import ochretiller.fleet.members.Members;
import ochretiller.fleet.members.Pace;
import ochretiller.fleet.members.Seen;
import ochretiller.fleet.members.Send;
import ochretiller.fleet.members.State;

/**
 * All orders of delivery, loss, passing time and crash in a fleet of a few, to a depth, round the decisions themselves. States
 * that go on alike are one. In each state it is held that nobody knows a member by a number that the member never had, and that
 * nobody is said to have left who did not; and from each state, with the faults gone, all views become equal and right within a
 * bound. Chance is fixed here: what it could choose is explored as order, not as choice.
 */
public final class Explore {
    /** One look at the clock a probe, and suspicion as short as it can be: verdicts come within the depth. */
    private static final Pace PACE = new Pace(Duration.ofMillis(100), Duration.ofHours(1), 100, 1, 0.72);
    /** Packets on one way from one to another; one more pushes the oldest out, which is a loss like any other. */
    private static final int ON_A_WAY = 2;
    /** Looks at the clock within which a fleet without faults has settled. */
    private static final int SETTLES = 120;
    private static final int CALM = 40;

    private final int members;
    private final int crashes;
    private final boolean planted;

    /** What came of it. */
    public record Found(int depth, long states, long edges, int worstSettles, String broken) {
    }

    /** Always the same: the order of events is what is explored. */
    private static final class Fixed implements RandomGenerator {
        @Override
        public long nextLong() {
            return 0;
        }

        @Override
        public double nextDouble() {
            return 0.5;
        }

        @Override
        public int nextInt(int bound) {
            return 0;
        }
    }

    /** A fleet in one state. */
    private final class Fleet {
        final Members[] all = new Members[members];
        final Duration[] clocks = new Duration[members];
        final boolean[] dead = new boolean[members];
        final boolean[] left = new boolean[members];
        final List<List<Send>> ways = new ArrayList<>();
        int deadCount;
        String broken;

        Fleet() {
            for (int i = 0; i < members; i++) {
                List<Address> seeds = i == 0 ? List.of() : List.of(address(0));
                Member self = new Member(new MemberId("m" + i, i + 1), address(i), "z", "b", null, 1, State.JOINING);
                clocks[i] = Duration.ZERO;
                all[i] = new Members(self, seeds, PACE, new Fixed(), Duration.ZERO);
            }
            for (int i = 0; i < members * members; i++) ways.add(new ArrayList<>());
            for (int i = 0; i < CALM; i++) round();
        }

        private Address address(int i) {
            return new Address("m", i + 1);
        }

        void take(int from) {
            for (Send send : all[from].sends()) {
                List<Send> way = ways.get(from * members + send.to().port() - 1);
                if (way.size() == ON_A_WAY) way.remove(0);
                way.add(send);
            }
            for (Change change : all[from].changes()) {
                int of = (int) change.member().start() - 1;
                if (change.kind() == Change.Kind.STATE && change.member().state() == State.LEFT && !left[of]) broken = "said to have left: " + change;
            }
        }

        void time(int who) {
            clocks[who] = all[who].next();
            all[who].tick(clocks[who]);
            take(who);
        }

        void deliver(int way, int which) {
            int to = way % members;
            Send send = ways.get(way).remove(which);
            if (dead[to]) return;
            // A planted fault, to see that it is found: a member that never answers what is said of it.
            if (planted && to == members - 1 && send.packet().from().start() == 1) return;
            all[to].received(send.packet(), clocks[to]);
            take(to);
        }

        /** One calm look at the clock by each, and all packets delivered in order. */
        void round() {
            for (int i = 0; i < members; i++) if (!dead[i]) time(i);
            for (boolean more = true; more;) {
                more = false;
                for (int way = 0; way < ways.size(); way++) {
                    while (!ways.get(way).isEmpty()) {
                        deliver(way, 0);
                        more = true;
                    }
                }
            }
        }

        /** Numbered from 0: first the clocks, then crashes, then deliveries and losses of what is on its way. */
        boolean act(int action) {
            int rest = action;
            if (rest < members) {
                if (dead[rest]) return false;
                time(rest);
                return true;
            }
            rest -= members;
            if (rest < members) {
                if (dead[rest] || deadCount == crashes) return false;
                dead[rest] = true;
                deadCount++;
                return true;
            }
            rest -= members;
            for (int way = 0; way < ways.size(); way++) {
                int size = ways.get(way).size();
                if (rest < 2 * size) {
                    if (rest % 2 == 0) deliver(way, rest / 2);
                    else ways.get(way).remove(rest / 2);
                    return true;
                }
                rest -= 2 * size;
            }
            return false;
        }

        int actions() {
            int count = 2 * members;
            for (List<Send> way : ways) count += 2 * way.size();
            return count;
        }

        long fingerprint() {
            StringBuilder text = new StringBuilder(1024);
            for (int i = 0; i < members; i++) text.append(dead[i] ? "dead" : all[i].state()).append(all[i].next().minus(clocks[i])).append('\n');
            for (List<Send> way : ways) text.append(way.stream().map(send -> told(send)).toList());
            return LongHashFunction.xx3().hashChars(text);
        }

        private String told(Send send) {
            return send.packet().toString();
        }

        void check() {
            for (int i = 0; i < members && broken == null; i++) {
                if (dead[i]) continue;
                for (Seen seen : all[i].view()) {
                    int of = (int) seen.member().start() - 1;
                    if (seen.member().number() > all[of].self().number()) broken = "a number that " + of + " never had: " + seen;
                }
            }
        }

        boolean right() {
            long digest = 0;
            boolean first = true;
            for (int i = 0; i < members; i++) {
                if (dead[i]) continue;
                if (all[i].live() != members - deadCount - 1 || all[i].self().state() != State.HERE) return false;
                for (Seen seen : all[i].view()) if (dead[(int) seen.member().start() - 1] && seen.member().state().live()) return false;
                if (!first && digest != all[i].digest()) return false;
                digest = all[i].digest();
                first = false;
            }
            return true;
        }

        /** Looks at the clock until all is right without faults, or -1. */
        int settles() {
            for (int i = 0; i <= SETTLES; i++) {
                if (right()) return i;
                round();
            }
            return -1;
        }
    }

    /**
     * @param planted whether a fault is planted that has to be found
     */
    public Explore(int members, int crashes, boolean planted) {
        this.members = members;
        this.crashes = crashes;
        this.planted = planted;
    }

    private Fleet replay(byte[] path) {
        Fleet fleet = new Fleet();
        for (byte action : path) fleet.act(action);
        return fleet;
    }

    /** One state that was reached: what of it is kept. */
    private record Reached(long fingerprint, byte[] path, int settles, String broken) {
    }

    private List<Reached> expand(byte[] path, int actions) {
        List<Reached> all = new ArrayList<>();
        for (int action = 0; action < actions; action++) {
            Fleet fleet = replay(path);
            if (!fleet.act(action)) continue;
            fleet.check();
            byte[] next = Arrays.copyOf(path, path.length + 1);
            next[path.length] = (byte) action;
            long fingerprint = fleet.fingerprint();
            all.add(new Reached(fingerprint, next, 0, fleet.broken));
        }
        return all;
    }

    /** Explores breadth first, each depth whole, until a depth would bring more states than are wanted. */
    public Found explore(int depth, long mostStates, Consumer<String> progress) throws Exception {
        Set<Long> known = new HashSet<>();
        List<byte[]> front = List.of(new byte[0]);
        known.add(new Fleet().fingerprint());
        long edges = 0;
        int worst = 0;
        int done = 0;
        ExecutorService threads = Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors(), work -> {
            Thread thread = new Thread(work, "explore");
            thread.setDaemon(true);
            return thread;
        });
        try {
            for (int level = 1; level <= depth; level++) {
                List<Callable<List<Reached>>> work = new ArrayList<>();
                for (byte[] path : front) work.add(() -> expand(path, replay(path).actions()));
                List<byte[]> next = new ArrayList<>();
                for (Future<List<Reached>> each : threads.invokeAll(work)) {
                    for (Reached reached : each.get()) {
                        edges++;
                        if (reached.broken != null) return new Found(level, known.size(), edges, worst, reached.broken + " by " + Arrays.toString(reached.path));
                        if (known.add(reached.fingerprint)) next.add(reached.path);
                    }
                }
                List<Callable<Integer>> heals = new ArrayList<>();
                for (byte[] path : next) heals.add(() -> replay(path).settles());
                int index = 0;
                for (Future<Integer> each : threads.invokeAll(heals)) {
                    if (each.get() < 0) {
                        return new Found(level, known.size(), edges, worst, "does not settle, by " + Arrays.toString(next.get(index)));
                    }
                    worst = Math.max(worst, each.get());
                    index++;
                }
                done = level;
                progress.accept(String.format(Locale.ROOT, "depth %d: %d states, %d steps, settles within %d looks", level, known.size(), edges, worst));
                front = next;
                if (front.isEmpty() || known.size() > mostStates) break;
            }
        } finally {
            threads.shutdownNow();
        }
        return new Found(done, known.size(), edges, worst, null);
    }
}
