package ochretiller.fleet.rollout;

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
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;
import org.junit.jupiter.api.Test;

/** Who comes when, what halts a version, who is shut out. */
class RolloutControllerTest {
    private static final PublishedVersion ONE =
            new PublishedVersion(1, "a".repeat(64), 10, "", "ann", "first");
    private static final PublishedVersion TWO =
            new PublishedVersion(2, "b".repeat(64), 10, "", "ann", "second");
    private static final Duration WAIT = Duration.ofSeconds(10);
    private final RolloutController rollouts =
            new RolloutController(WAIT, Duration.ofSeconds(30), true);
    private final Map<String, VersionReport> reports = new TreeMap<>();
    private Duration now = Duration.ofSeconds(1);

    private static ReplicaPlacement fleet(int size, RolloutState rollout) {
        List<ReplicaServer> servers = new ArrayList<>();
        for (int i = 1; i <= size; i++) {
            servers.add(new ReplicaServer("m" + i, "z" + i % 3));
        }
        return new ReplicaPlacement(5, servers, servers, 3, rollout);
    }

    private static RolloutState second(int stage) {
        return new RolloutState(TWO, ONE, stage, RolloutPhase.RUNNING);
    }

    private static Set<String> names(ReplicaPlacement layout) {
        Set<String> names = new TreeSet<>();
        for (ReplicaServer each : layout.servers()) {
            names.add(each.name());
        }
        return names;
    }

    private static VersionReport acts(
            PublishedVersion version, VersionCounters on, VersionCounters before) {
        return new VersionReport(version.number(), version.hash(), 0, "", 2, on, before);
    }

    /** All servers say that they act on what they are to. */
    private void tell(ReplicaPlacement layout, VersionCounters on, VersionCounters before) {
        for (String each : names(layout)) {
            rollouts.recordReport(
                    each,
                    acts(
                            RolloutStages.targetVersion(layout, each),
                            RolloutStages.includes(layout, each) ? on : VersionCounters.ZERO,
                            before));
        }
    }

    private static VersionCounters counts(long read, long errored) {
        return new VersionCounters(read, 0, errored, 0, read - errored, read);
    }

    @Test
    void oneThenAQuarterOfEachZoneThenAll() {
        ReplicaPlacement first = fleet(24, second(0));
        ReplicaPlacement part = fleet(24, second(1));
        Set<String> one = new HashSet<>();
        Map<String, Integer> zones = new TreeMap<>();
        for (ReplicaServer each : first.servers()) {
            if (RolloutStages.includes(first, each.name())) {
                one.add(each.name());
            }
            if (RolloutStages.includes(part, each.name())) {
                zones.merge(each.zone(), 1, Integer::sum);
            }
        }
        assertThat(one).hasSize(1);
        assertThat(
                        part.servers().stream()
                                .filter(each -> one.contains(each.name()))
                                .allMatch(each -> RolloutStages.includes(part, each.name())))
                .as("who is first stays so")
                .isTrue();
        assertThat(zones).containsOnlyKeys("z0", "z1", "z2");
        assertThat(zones.values()).allMatch(count -> count == 2 || count == 3);
        assertThat(names(first))
                .allMatch(
                        each ->
                                RolloutStages.includes(
                                        fleet(24, second(RolloutStages.ALL_SERVERS)), each));
        for (int size = 1; size < 12; size++) {
            ReplicaPlacement small = fleet(size, second(1));
            assertThat(
                            names(small).stream()
                                    .filter(each -> RolloutStages.includes(small, each))
                                    .count())
                    .as(size + " servers")
                    .isBetween(1L, Math.max(1, size / 2L));
        }
    }

    @Test
    void eachStageIsWatchedForItsWaitOnceItsServersActOnIt() {
        ReplicaPlacement layout = fleet(6, second(0));
        String first =
                names(layout).stream()
                        .filter(each -> RolloutStages.includes(layout, each))
                        .findFirst()
                        .orElseThrow();
        for (String each : names(layout)) {
            rollouts.recordReport(each, acts(ONE, VersionCounters.ZERO, VersionCounters.ZERO));
        }
        assertThat(rollouts.nextState(layout, names(layout), now))
                .as("nobody acts on it yet")
                .isEmpty();
        assertThat(rollouts.nextState(layout, names(layout), now.plusSeconds(20))).isEmpty();
        rollouts.recordReport(first, acts(TWO, VersionCounters.ZERO, VersionCounters.ZERO));
        assertThat(rollouts.nextState(layout, names(layout), now.plusSeconds(21))).isEmpty();
        RolloutState next =
                rollouts.nextState(layout, names(layout), now.plusSeconds(31)).orElseThrow();
        assertThat(next.stage()).isEqualTo(1);
        ReplicaPlacement last = fleet(6, second(RolloutStages.ALL_SERVERS));
        tell(last, VersionCounters.ZERO, VersionCounters.ZERO);
        assertThat(rollouts.nextState(last, names(last), now.plusSeconds(40))).isEmpty();
        assertThat(rollouts.nextState(last, names(last), now.plusSeconds(51)).orElseThrow())
                .isEqualTo(second(RolloutStages.ALL_SERVERS).completed());
    }

    @Test
    void anotherVoterGoesOnFromWhatIsAgreed() {
        ReplicaPlacement layout = fleet(6, second(1));
        RolloutController fresh = new RolloutController(WAIT, WAIT, true);
        for (String each : names(layout)) {
            fresh.recordReport(
                    each,
                    acts(
                            RolloutStages.targetVersion(layout, each),
                            VersionCounters.ZERO,
                            VersionCounters.ZERO));
        }
        assertThat(fresh.nextState(layout, names(layout), now)).isEmpty();
        assertThat(fresh.nextState(layout, names(layout), now.plus(WAIT)).orElseThrow().stage())
                .isEqualTo(RolloutStages.ALL_SERVERS);
    }

    @Test
    void harmTakesItBackAsAVersionOfItsOwn() {
        ReplicaPlacement layout = fleet(12, second(1));
        tell(layout, VersionCounters.ZERO, counts(5_000, 900));
        assertThat(rollouts.nextState(layout, names(layout), now))
                .as("what was before it began does not count")
                .isEmpty();
        tell(layout, counts(400, 120), counts(5_400, 904));
        RolloutState back =
                rollouts.nextState(layout, names(layout), now.plusSeconds(1)).orElseThrow();
        assertThat(back.target().number()).isEqualTo(3);
        assertThat(back.target().hash()).isEqualTo(ONE.hash());
        assertThat(back.isComplete()).isTrue();
        assertThat(rollouts.haltReason()).contains("errored 0.3000");
        RolloutController halts = new RolloutController(WAIT, WAIT, false);
        for (String each : names(layout)) {
            halts.recordReport(
                    each,
                    acts(
                            RolloutStages.targetVersion(layout, each),
                            VersionCounters.ZERO,
                            counts(0, 0)));
        }
        halts.nextState(layout, names(layout), now);
        for (String each : names(layout)) {
            halts.recordReport(
                    each,
                    acts(
                            RolloutStages.targetVersion(layout, each),
                            RolloutStages.includes(layout, each)
                                    ? counts(400, 120)
                                    : VersionCounters.ZERO,
                            counts(400, 4)));
        }
        assertThat(halts.nextState(layout, names(layout), now).orElseThrow().phase())
                .isEqualTo(RolloutPhase.HALTED);
    }

    @Test
    void aRefusalStopsItAtFirstAndShutsOutAtLast() {
        for (int stage : new int[] {0, 1, RolloutStages.ALL_SERVERS}) {
            ReplicaPlacement layout = fleet(12, second(stage));
            RolloutController each = new RolloutController(WAIT, WAIT, true);
            String one =
                    names(layout).stream()
                            .filter(name -> RolloutStages.includes(layout, name))
                            .findFirst()
                            .orElseThrow();
            for (String name : names(layout)) {
                each.recordReport(
                        name,
                        acts(
                                RolloutStages.targetVersion(layout, name),
                                VersionCounters.ZERO,
                                VersionCounters.ZERO));
            }
            each.recordReport(
                    one,
                    new VersionReport(
                            1,
                            ONE.hash(),
                            2,
                            "its build is too old",
                            2,
                            VersionCounters.ZERO,
                            VersionCounters.ZERO));
            each.nextState(layout, names(layout), now);
            RolloutState next =
                    each.nextState(layout, names(layout), now.plusSeconds(11)).orElse(null);
            if (stage < RolloutStages.ALL_SERVERS) {
                assertThat(next.target().hash()).isEqualTo(ONE.hash());
                assertThat(each.haltReason()).contains(one).contains("too old");
            } else {
                each.nextState(layout, names(layout), now.plusSeconds(11));
                assertThat(each.nextState(layout, names(layout), now.plusSeconds(25)).orElseThrow())
                        .isEqualTo(layout.rollout().completed());
            }
        }
    }

    @Test
    void oneThatNobodyComesToActOnHalts() {
        ReplicaPlacement layout = fleet(6, second(0));
        for (String each : names(layout)) {
            rollouts.recordReport(each, acts(ONE, VersionCounters.ZERO, VersionCounters.ZERO));
        }
        rollouts.nextState(layout, names(layout), now);
        assertThat(rollouts.nextState(layout, names(layout), now.plusSeconds(100))).isEmpty();
        assertThat(
                        rollouts.nextState(layout, names(layout), now.plusSeconds(121))
                                .orElseThrow()
                                .phase())
                .isEqualTo(RolloutPhase.HALTED);
    }

    @Test
    void oneThatIsPausedWaitsForAPerson() {
        ReplicaPlacement layout = fleet(6, second(0).withPhase(RolloutPhase.PAUSED));
        tell(layout, counts(1_000, 900), counts(1_000, 0));
        assertThat(rollouts.nextState(layout, names(layout), now.plusSeconds(1_000))).isEmpty();
    }

    @Test
    void twoOfOneNumberAreAFork() {
        assertThat(
                        RolloutController.isBehind(
                                new VersionReport(
                                        2,
                                        "c".repeat(64),
                                        0,
                                        "",
                                        2,
                                        VersionCounters.ZERO,
                                        VersionCounters.ZERO),
                                TWO))
                .isTrue();
        assertThat(
                        RolloutController.isBehind(
                                acts(TWO, VersionCounters.ZERO, VersionCounters.ZERO), TWO))
                .isFalse();
        assertThat(RolloutController.isBehind(null, TWO)).isTrue();
    }

    // ---- the test on shares

    /**
     * Looks at two groups after each small step, for as long as a stage may last; whether it ever
     * says that the first is worse.
     */
    private static boolean fires(
            SplittableRandom chance, double badChanged, double badUnchanged, int sizeChanged) {
        VersionCounters changed = VersionCounters.ZERO;
        VersionCounters unchanged = VersionCounters.ZERO;
        for (int look = 0; look < 200; look++) {
            // Bad ones come in bursts: a crowded moment spoils those of both sides together, more
            // or less.
            double burst = chance.nextInt(20) == 0 ? 3 : 1;
            changed = changed.plus(drawn(chance, sizeChanged, Math.min(0.9, badChanged * burst)));
            unchanged = unchanged.plus(drawn(chance, 60, Math.min(0.9, badUnchanged * burst)));
            if (CanaryComparison.findRegression(changed, unchanged).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static VersionCounters drawn(SplittableRandom chance, int read, double bad) {
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
        assertThat(halted)
                .isLessThanOrEqualTo((int) (1_000 * CanaryComparison.FALSE_ALARM_PROBABILITY));
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
        long question = lease.startRenewal(now);
        lease.recordGrant("a", question);
        assertThat(lease.isHeld(now)).as("one of three").isFalse();
        lease.recordGrant("a", question);
        lease.recordGrant("x", question);
        assertThat(lease.isHeld(now)).as("nobody counts twice, and only voters do").isFalse();
        lease.recordGrant("b", question);
        assertThat(lease.isHeld(now.plusSeconds(4))).isTrue();
        assertThat(lease.isHeld(now.plusSeconds(5)))
                .as("as long as it may, and no longer")
                .isFalse();
        lease.recordGrant("a", 7);
        lease.recordGrant("c", 7);
        assertThat(lease.expiresAt())
                .as("answers to a former process")
                .isEqualTo(now.plusSeconds(5));
    }

    @Test
    void whoIsBehindIsShutOutAndLetInAgain() {
        LeaseGrantor door = new LeaseGrantor(Duration.ofSeconds(3), new SplittableRandom(1));
        ReplicaPlacement layout = fleet(9, second(RolloutStages.ALL_SERVERS));
        for (String each : names(layout)) {
            reports.put(each, acts(TWO, VersionCounters.ZERO, VersionCounters.ZERO));
        }
        reports.put("m4", acts(ONE, VersionCounters.ZERO, VersionCounters.ZERO));
        assertThat(door.renew(layout, "m5", reports, now)).isTrue();
        assertThat(door.renew(layout, "m4", reports, now.plusSeconds(2)))
                .as("it has just come to its turn")
                .isTrue();
        assertThat(door.renew(layout, "m4", reports, now.plusSeconds(4))).isFalse();
        assertThat(door.renew(layout, "m5", reports, now.plusSeconds(4))).isTrue();
        reports.put("m4", acts(TWO, VersionCounters.ZERO, VersionCounters.ZERO));
        boolean back = false;
        for (int i = 0; i < 20 && !back; i++) {
            back = door.renew(layout, "m4", reports, now.plusSeconds(5));
        }
        assertThat(back).isTrue();
        assertThat(door.fencedServers()).isEmpty();
    }

    @Test
    void whereMostAreBehindNobodyIsShutOut() {
        LeaseGrantor door = new LeaseGrantor(Duration.ofSeconds(3), new SplittableRandom(1));
        ReplicaPlacement layout = fleet(9, second(RolloutStages.ALL_SERVERS));
        for (String each : names(layout)) {
            reports.put(
                    each,
                    acts(
                            each.compareTo("m5") < 0 ? ONE : TWO,
                            VersionCounters.ZERO,
                            VersionCounters.ZERO));
        }
        door.renew(layout, "m1", reports, now);
        assertThat(door.renew(layout, "m1", reports, now.plusSeconds(10)))
                .as("four of nine are behind")
                .isTrue();
    }

    @Test
    void thoseThatWereShutOutTogetherComeBackFewAtATime() {
        LeaseGrantor door = new LeaseGrantor(Duration.ZERO, new SplittableRandom(1));
        ReplicaPlacement layout = fleet(40, second(RolloutStages.ALL_SERVERS));
        for (String each : names(layout)) {
            reports.put(each, acts(TWO, VersionCounters.ZERO, VersionCounters.ZERO));
        }
        List<String> late = new ArrayList<>(names(layout)).subList(0, 12);
        for (String each : late) {
            reports.put(each, acts(ONE, VersionCounters.ZERO, VersionCounters.ZERO));
        }
        for (String each : late) {
            door.renew(layout, each, reports, now);
        }
        assertThat(door.fencedServers()).hasSize(12);
        for (String each : late) {
            reports.put(each, acts(TWO, VersionCounters.ZERO, VersionCounters.ZERO));
        }
        for (int i = 0; i < 10; i++) {
            for (String each : late) {
                door.renew(layout, each, reports, now.plusMillis(i * 100));
            }
        }
        assertThat(door.fencedServers().size()).as("in the first second").isBetween(7, 11);
        for (int i = 0; i < 100; i++) {
            for (String each : late) {
                door.renew(layout, each, reports, now.plusMillis(i * 100));
            }
        }
        assertThat(door.fencedServers()).isEmpty();
    }
}
