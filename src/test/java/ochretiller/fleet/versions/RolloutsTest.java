package ochretiller.fleet.versions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import ochretiller.fleet.epochs.Layout;
import ochretiller.fleet.epochs.Rollout;
import org.junit.jupiter.api.Test;

/** Who comes when, what halts a version, who is shut out. */
class RolloutsTest {
    private static final Rollout.Version ONE =
            new Rollout.Version(1, "a".repeat(64), 10, "", "ann", "first");
    private static final Rollout.Version TWO =
            new Rollout.Version(2, "b".repeat(64), 10, "", "ann", "second");
    private static final Duration WAIT = Duration.ofSeconds(10);
    private final Rollouts rollouts = new Rollouts(WAIT, Duration.ofSeconds(30), true);
    private final Map<String, Report> reports = new TreeMap<>();
    private Duration now = Duration.ofSeconds(1);

    private static Layout fleet(int size, Rollout rollout) {
        List<Layout.Server> servers = new ArrayList<>();
        for (int i = 1; i <= size; i++) {
            servers.add(new Layout.Server("m" + i, "z" + i % 3));
        }
        return new Layout(5, servers, servers, 3, rollout);
    }

    private static Rollout second(int stage) {
        return new Rollout(TWO, ONE, stage, Rollout.State.RUNS);
    }

    private static Set<String> names(Layout layout) {
        Set<String> names = new TreeSet<>();
        for (Layout.Server each : layout.servers()) {
            names.add(each.name());
        }
        return names;
    }

    private static Report acts(Rollout.Version version, Counts on, Counts before) {
        return new Report(version.number(), version.hash(), 0, "", 2, on, before);
    }

    /** All servers say that they act on what they are to. */
    private void tell(Layout layout, Counts on, Counts before) {
        for (String each : names(layout)) {
            rollouts.told(
                    each,
                    acts(
                            Stages.target(layout, each),
                            Stages.on(layout, each) ? on : Counts.NONE,
                            before));
        }
    }

    private static Counts counts(long read, long errored) {
        return new Counts(read, 0, errored, 0, read - errored, read);
    }

    @Test
    void oneThenAQuarterOfEachZoneThenAll() {
        Layout first = fleet(24, second(0));
        Layout part = fleet(24, second(1));
        Set<String> one = new HashSet<>();
        Map<String, Integer> zones = new TreeMap<>();
        for (Layout.Server each : first.servers()) {
            if (Stages.on(first, each.name())) {
                one.add(each.name());
            }
            if (Stages.on(part, each.name())) {
                zones.merge(each.zone(), 1, Integer::sum);
            }
        }
        assertThat(one).hasSize(1);
        assertThat(
                        part.servers().stream()
                                .filter(each -> one.contains(each.name()))
                                .allMatch(each -> Stages.on(part, each.name())))
                .as("who is first stays so")
                .isTrue();
        assertThat(zones).containsOnlyKeys("z0", "z1", "z2");
        assertThat(zones.values()).allMatch(count -> count == 2 || count == 3);
        assertThat(names(first)).allMatch(each -> Stages.on(fleet(24, second(Stages.ALL)), each));
        for (int size = 1; size < 12; size++) {
            Layout small = fleet(size, second(1));
            assertThat(names(small).stream().filter(each -> Stages.on(small, each)).count())
                    .as(size + " servers")
                    .isBetween(1L, Math.max(1, size / 2L));
        }
    }

    @Test
    void eachStageIsWatchedForItsWaitOnceItsServersActOnIt() {
        Layout layout = fleet(6, second(0));
        String first =
                names(layout).stream()
                        .filter(each -> Stages.on(layout, each))
                        .findFirst()
                        .orElseThrow();
        for (String each : names(layout)) {
            rollouts.told(each, acts(ONE, Counts.NONE, Counts.NONE));
        }
        assertThat(rollouts.next(layout, names(layout), now)).as("nobody acts on it yet").isEmpty();
        assertThat(rollouts.next(layout, names(layout), now.plusSeconds(20))).isEmpty();
        rollouts.told(first, acts(TWO, Counts.NONE, Counts.NONE));
        assertThat(rollouts.next(layout, names(layout), now.plusSeconds(21))).isEmpty();
        Rollout next = rollouts.next(layout, names(layout), now.plusSeconds(31)).orElseThrow();
        assertThat(next.stage()).isEqualTo(1);
        Layout last = fleet(6, second(Stages.ALL));
        tell(last, Counts.NONE, Counts.NONE);
        assertThat(rollouts.next(last, names(last), now.plusSeconds(40))).isEmpty();
        assertThat(rollouts.next(last, names(last), now.plusSeconds(51)).orElseThrow())
                .isEqualTo(second(Stages.ALL).done());
    }

    @Test
    void anotherVoterGoesOnFromWhatIsAgreed() {
        Layout layout = fleet(6, second(1));
        Rollouts fresh = new Rollouts(WAIT, WAIT, true);
        for (String each : names(layout)) {
            fresh.told(each, acts(Stages.target(layout, each), Counts.NONE, Counts.NONE));
        }
        assertThat(fresh.next(layout, names(layout), now)).isEmpty();
        assertThat(fresh.next(layout, names(layout), now.plus(WAIT)).orElseThrow().stage())
                .isEqualTo(Stages.ALL);
    }

    @Test
    void harmTakesItBackAsAVersionOfItsOwn() {
        Layout layout = fleet(12, second(1));
        tell(layout, Counts.NONE, counts(5_000, 900));
        assertThat(rollouts.next(layout, names(layout), now))
                .as("what was before it began does not count")
                .isEmpty();
        tell(layout, counts(400, 120), counts(5_400, 904));
        Rollout back = rollouts.next(layout, names(layout), now.plusSeconds(1)).orElseThrow();
        assertThat(back.to().number()).isEqualTo(3);
        assertThat(back.to().hash()).isEqualTo(ONE.hash());
        assertThat(back.over()).isTrue();
        assertThat(rollouts.halted()).contains("errored 0.3000");
        Rollouts halts = new Rollouts(WAIT, WAIT, false);
        for (String each : names(layout)) {
            halts.told(each, acts(Stages.target(layout, each), Counts.NONE, counts(0, 0)));
        }
        halts.next(layout, names(layout), now);
        for (String each : names(layout)) {
            halts.told(
                    each,
                    acts(
                            Stages.target(layout, each),
                            Stages.on(layout, each) ? counts(400, 120) : Counts.NONE,
                            counts(400, 4)));
        }
        assertThat(halts.next(layout, names(layout), now).orElseThrow().state())
                .isEqualTo(Rollout.State.HALTED);
    }

    @Test
    void aRefusalStopsItAtFirstAndShutsOutAtLast() {
        for (int stage : new int[] {0, 1, Stages.ALL}) {
            Layout layout = fleet(12, second(stage));
            Rollouts each = new Rollouts(WAIT, WAIT, true);
            String one =
                    names(layout).stream()
                            .filter(name -> Stages.on(layout, name))
                            .findFirst()
                            .orElseThrow();
            for (String name : names(layout)) {
                each.told(name, acts(Stages.target(layout, name), Counts.NONE, Counts.NONE));
            }
            each.told(
                    one,
                    new Report(
                            1, ONE.hash(), 2, "its build is too old", 2, Counts.NONE, Counts.NONE));
            each.next(layout, names(layout), now);
            Rollout next = each.next(layout, names(layout), now.plusSeconds(11)).orElse(null);
            if (stage < Stages.ALL) {
                assertThat(next.to().hash()).isEqualTo(ONE.hash());
                assertThat(each.halted()).contains(one).contains("too old");
            } else {
                each.next(layout, names(layout), now.plusSeconds(11));
                assertThat(each.next(layout, names(layout), now.plusSeconds(25)).orElseThrow())
                        .isEqualTo(layout.rollout().done());
            }
        }
    }

    @Test
    void oneThatNobodyComesToActOnHalts() {
        Layout layout = fleet(6, second(0));
        for (String each : names(layout)) {
            rollouts.told(each, acts(ONE, Counts.NONE, Counts.NONE));
        }
        rollouts.next(layout, names(layout), now);
        assertThat(rollouts.next(layout, names(layout), now.plusSeconds(100))).isEmpty();
        assertThat(rollouts.next(layout, names(layout), now.plusSeconds(121)).orElseThrow().state())
                .isEqualTo(Rollout.State.HALTED);
    }

    @Test
    void oneThatIsPausedWaitsForAPerson() {
        Layout layout = fleet(6, second(0).as(Rollout.State.PAUSED));
        tell(layout, counts(1_000, 900), counts(1_000, 0));
        assertThat(rollouts.next(layout, names(layout), now.plusSeconds(1_000))).isEmpty();
    }

    @Test
    void twoOfOneNumberAreAFork() {
        assertThat(
                        Rollouts.behind(
                                new Report(2, "c".repeat(64), 0, "", 2, Counts.NONE, Counts.NONE),
                                TWO))
                .isTrue();
        assertThat(Rollouts.behind(acts(TWO, Counts.NONE, Counts.NONE), TWO)).isFalse();
        assertThat(Rollouts.behind(null, TWO)).isTrue();
    }

    // ---- the test on shares

    /**
     * Looks at two groups after each small step, for as long as a stage may last; whether it ever
     * says that the first is worse.
     */
    private static boolean fires(
            SplittableRandom chance, double badChanged, double badUnchanged, int sizeChanged) {
        Counts changed = Counts.NONE;
        Counts unchanged = Counts.NONE;
        for (int look = 0; look < 200; look++) {
            // Bad ones come in bursts: a crowded moment spoils those of both sides together, more
            // or less.
            double burst = chance.nextInt(20) == 0 ? 3 : 1;
            changed = changed.plus(drawn(chance, sizeChanged, Math.min(0.9, badChanged * burst)));
            unchanged = unchanged.plus(drawn(chance, 60, Math.min(0.9, badUnchanged * burst)));
            if (Watch.worse(changed, unchanged).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static Counts drawn(SplittableRandom chance, int read, double bad) {
        int errored = 0;
        for (int i = 0; i < read; i++) {
            if (chance.nextDouble() < bad) {
                errored++;
            }
        }
        return counts(read, errored);
    }

    @Test
    void harmlessVersionsAreHaltedNoMoreOftenThanIsStated() {
        SplittableRandom chance = new SplittableRandom(11);
        int halted = 0;
        for (int i = 0; i < 1_000; i++) {
            if (fires(chance, 0.02 + 0.2 * (i % 5) / 5, 0.02 + 0.2 * (i % 5) / 5, 3 + i % 30)) {
                halted++;
            }
        }
        assertThat(halted).isLessThanOrEqualTo((int) (1_000 * Watch.FALSE_ALARM));
    }

    @Test
    void harmfulVersionsAreHaltedAtTheFirstStage() {
        SplittableRandom chance = new SplittableRandom(12);
        int halted = 0;
        for (int i = 0; i < 200; i++) {
            if (fires(chance, 0.25, 0.02, 5)) {
                halted++;
            }
        }
        assertThat(halted).isGreaterThan(190);
    }

    // ---- leases

    @Test
    void aLeaseCountsFromTheQuestionAndEndsByItself() {
        Lease lease = new Lease(Set.of("a", "b", "c"), Duration.ofSeconds(5), 100);
        long question = lease.ask(now);
        lease.granted("a", question);
        assertThat(lease.holds(now)).as("one of three").isFalse();
        lease.granted("a", question);
        lease.granted("x", question);
        assertThat(lease.holds(now)).as("nobody counts twice, and only voters do").isFalse();
        lease.granted("b", question);
        assertThat(lease.holds(now.plusSeconds(4))).isTrue();
        assertThat(lease.holds(now.plusSeconds(5)))
                .as("as long as it may, and no longer")
                .isFalse();
        lease.granted("a", 7);
        lease.granted("c", 7);
        assertThat(lease.ends()).as("answers to a former process").isEqualTo(now.plusSeconds(5));
    }

    @Test
    void whoIsBehindIsShutOutAndLetInAgain() {
        Doorkeeper door = new Doorkeeper(Duration.ofSeconds(3), new SplittableRandom(1));
        Layout layout = fleet(9, second(Stages.ALL));
        for (String each : names(layout)) {
            reports.put(each, acts(TWO, Counts.NONE, Counts.NONE));
        }
        reports.put("m4", acts(ONE, Counts.NONE, Counts.NONE));
        assertThat(door.renews(layout, "m5", reports, now)).isTrue();
        assertThat(door.renews(layout, "m4", reports, now.plusSeconds(2)))
                .as("it has just come to its turn")
                .isTrue();
        assertThat(door.renews(layout, "m4", reports, now.plusSeconds(4))).isFalse();
        assertThat(door.renews(layout, "m5", reports, now.plusSeconds(4))).isTrue();
        reports.put("m4", acts(TWO, Counts.NONE, Counts.NONE));
        boolean back = false;
        for (int i = 0; i < 20 && !back; i++) {
            back = door.renews(layout, "m4", reports, now.plusSeconds(5));
        }
        assertThat(back).isTrue();
        assertThat(door.out()).isEmpty();
    }

    @Test
    void whereMostAreBehindNobodyIsShutOut() {
        Doorkeeper door = new Doorkeeper(Duration.ofSeconds(3), new SplittableRandom(1));
        Layout layout = fleet(9, second(Stages.ALL));
        for (String each : names(layout)) {
            reports.put(each, acts(each.compareTo("m5") < 0 ? ONE : TWO, Counts.NONE, Counts.NONE));
        }
        door.renews(layout, "m1", reports, now);
        assertThat(door.renews(layout, "m1", reports, now.plusSeconds(10)))
                .as("four of nine are behind")
                .isTrue();
    }

    @Test
    void thoseThatWereShutOutTogetherComeBackFewAtATime() {
        Doorkeeper door = new Doorkeeper(Duration.ZERO, new SplittableRandom(1));
        Layout layout = fleet(40, second(Stages.ALL));
        for (String each : names(layout)) {
            reports.put(each, acts(TWO, Counts.NONE, Counts.NONE));
        }
        List<String> late = new ArrayList<>(names(layout)).subList(0, 12);
        for (String each : late) {
            reports.put(each, acts(ONE, Counts.NONE, Counts.NONE));
        }
        for (String each : late) {
            door.renews(layout, each, reports, now);
        }
        assertThat(door.out()).hasSize(12);
        for (String each : late) {
            reports.put(each, acts(TWO, Counts.NONE, Counts.NONE));
        }
        for (int i = 0; i < 10; i++) {
            for (String each : late) {
                door.renews(layout, each, reports, now.plusMillis(i * 100));
            }
        }
        assertThat(door.out().size()).as("in the first second").isBetween(7, 11);
        for (int i = 0; i < 100; i++) {
            for (String each : late) {
                door.renews(layout, each, reports, now.plusMillis(i * 100));
            }
        }
        assertThat(door.out()).isEmpty();
    }
}
