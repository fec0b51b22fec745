package ochretiller.fleet.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import org.junit.jupiter.api.Test;

/** Copies that become equal, keepers that come back, long results on their way. */
class AntiEntropyTest {
    private static final Duration WINDOW = Duration.ofSeconds(60);
    private static final List<ReplicaServer> THREE =
            List.of(
                    new ReplicaServer("a", "1"),
                    new ReplicaServer("b", "2"),
                    new ReplicaServer("c", "3"));
    private static final ReplicaPlacement LAYOUT = new ReplicaPlacement(3, THREE, THREE, 3);

    private final Map<String, Replica> keepers = new TreeMap<>();
    private final ClaimCoordinator owner =
            new ClaimCoordinator("s", 1, LAYOUT, new SplittableRandom(1));
    private final SplittableRandom chance = new SplittableRandom(5);
    private Duration now = Duration.ofSeconds(1);
    private double loses;
    private long pageBytes;

    private static Replica.ReplicaLimits bounds(double perSecond) {
        return new Replica.ReplicaLimits(100_000, Long.MAX_VALUE, perSecond, WINDOW);
    }

    private Replica keeper(
            String name, Map<String, ReplicaEntry> entries, long number, boolean returns) {
        return new Replica(
                name,
                new Replica.ReplicaSnapshot(
                        LAYOUT, entries, Set.of(), Set.of(), Set.of(), number, returns),
                LAYOUT,
                bounds(64 << 20),
                0,
                now);
    }

    private Map<String, ReplicaEntry> entries(int count) {
        Map<String, ReplicaEntry> all = new HashMap<>();
        for (int i = 0; i < count; i++) {
            ClaimId id = new ClaimId("s", 1, i);
            all.put(
                    "token-" + i,
                    ReplicaEntry.EMPTY.withOutcome(
                            id,
                            new ClaimOutcome(true, "body", "result " + i),
                            now.plusSeconds(20 + i % 30)));
        }
        return all;
    }

    private void beats(int count) {
        for (int i = 0; i < count; i++) {
            now = now.plusMillis(20);
            Deque<Object[]> underWay = new ArrayDeque<>();
            keepers.forEach(
                    (name, each) -> {
                        each.tick(now);
                        each.takeOutbound().forEach(out -> underWay.add(new Object[] {name, out}));
                    });
            owner.takeOutbound().forEach(out -> underWay.add(new Object[] {"s", out}));
            while (!underWay.isEmpty()) {
                Object[] sent = underWay.poll();
                Replica.OutboundMessage out = (Replica.OutboundMessage) sent[1];
                if (out.message() instanceof ReplicationMessage.RangePage page) {
                    for (ReplicationMessage.TransferredEntry item : page.entries()) {
                        pageBytes += item.estimatedBytes();
                    }
                }
                if (chance.nextDouble() < loses) {
                    continue;
                }
                Replica to = keepers.get(out.recipient());
                if (out.recipient().equals("s")
                        || out.message() instanceof ReplicationMessage.ChangeNumberQuery) {
                    if (out.message() instanceof ReplicationMessage.ChunkRequest want) {
                        String result = owner.pendingResult(want.claimId());
                        ReplicationMessage.Chunk piece =
                                result == null ? null : ChunkAssembler.slice(want, result);
                        if (piece != null) {
                            underWay.add(
                                    new Object[] {
                                        "s", new Replica.OutboundMessage((String) sent[0], piece)
                                    });
                        }
                    }
                    owner.receive((String) sent[0], out.message(), now);
                    owner.takeOutbound().forEach(each -> underWay.add(new Object[] {"s", each}));
                }
                if (to == null) {
                    continue;
                }
                to.receive((String) sent[0], out.message(), now);
                to.takeAssembledResults().forEach(to::resultStored);
                to.takeOutbound()
                        .forEach(each -> underWay.add(new Object[] {out.recipient(), each}));
            }
        }
    }

    private void same() {
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            assertThat(keepers.get("a").rangeDigest(range))
                    .as("range " + range)
                    .isEqualTo(keepers.get("b").rangeDigest(range))
                    .isEqualTo(keepers.get("c").rangeDigest(range));
        }
    }

    @Test
    void whatDiffersIsFetchedAndNothingElse() {
        Map<String, ReplicaEntry> all = entries(2_000);
        Map<String, ReplicaEntry> less = new HashMap<>(all);
        for (int i = 0; i < 30; i++) {
            less.remove("token-" + i * 7);
        }
        keepers.put("a", keeper("a", less, 0, false));
        keepers.put("b", keeper("b", all, 0, false));
        keepers.put("c", keeper("c", all, 0, false));
        keepers.get("a").compareAllRanges();
        beats(200);
        same();
        assertThat(keepers.get("a").fetchedEntries()).isEqualTo(30);
    }

    @Test
    void whatHasNoRoomInAPageIsAskedForByItsMarks() {
        Map<String, ReplicaEntry> all = new HashMap<>();
        for (int i = 0; i < 2_000; i++) {
            all.put(
                    "token-" + i,
                    ReplicaEntry.EMPTY.withOutcome(
                            new ClaimId("s", 1, i),
                            new ClaimOutcome(true, "body", "r".repeat(1_500) + i),
                            now.plusSeconds(20 + i % 30)));
        }
        Map<String, ReplicaEntry> less = new HashMap<>(all);
        for (int i = 0; i < 900; i++) {
            less.remove("token-" + i);
        }
        keepers.put("a", keeper("a", less, 0, false));
        keepers.put("b", keeper("b", all, 0, false));
        keepers.put("c", keeper("c", all, 0, false));
        keepers.get("a").compareAllRanges();
        loses = 0.05;
        // What changes meanwhile bears another mark.
        for (int i = 0; i < 300; i++) {
            beats(1);
            for (String each : List.of("b", "c")) {
                keepers.get(each)
                        .receive(
                                "x",
                                new ReplicationMessage.ClaimRelease(
                                        "token-" + i % 900, new ClaimId("x", 1, i), WINDOW),
                                now);
            }
        }
        keepers.get("a").compareAllRanges();
        loses = 0;
        beats(400);
        same();
        assertThat(keepers.get("a").fetchedEntries())
                .as("each once, and those that changed again")
                .isLessThan(900 + 300 + 300);
    }

    @Test
    void anEmptyOneHasAllWhateverIsLostOnTheWayAndNothingIsFetchedTwiceForThat() {
        Map<String, ReplicaEntry> all = entries(3_000);
        keepers.put("a", new Replica("a", null, LAYOUT, bounds(64 << 20), 1, now));
        keepers.put("b", keeper("b", all, 0, false));
        keepers.put("c", keeper("c", all, 0, false));
        loses = 0.1;
        beats(600);
        assertThat(keepers.get("a").laggingRangeCount()).isZero();
        assertThat(keepers.get("a").entryCount()).isEqualTo(3_000);
        assertThat(keepers.get("a").fetchedEntries())
                .as("the second source tells only what the first did not")
                .isLessThan(4_000);
        same();
    }

    @Test
    void catchingUpStaysWithinItsAllowance() {
        Map<String, ReplicaEntry> all = entries(9_000);
        keepers.put("a", new Replica("a", null, LAYOUT, bounds(200_000), 1, now));
        keepers.put("b", keeper("b", all, 0, false));
        keepers.put("c", keeper("c", all, 0, false));
        beats(100);
        assertThat(pageBytes)
                .as("two seconds of the allowance, and what was saved up of it")
                .isLessThan(2 * 200_000 + 256 * 1024 + 6 * Replica.MAX_PAGE_BYTES + 5_000);
        assertThat(keepers.get("a").laggingRangeCount()).isPositive();
    }

    @Test
    void aDiskThatIsOlderThanItsWordIsFoundAndCountsAsLost() {
        Map<String, ReplicaEntry> all = entries(200);
        keepers.put("b", keeper("b", all, 0, false));
        keepers.put("c", keeper("c", all, 0, false));
        owner.receive(
                "a",
                new ReplicationMessage.ClaimReply(
                        3,
                        "x",
                        new ClaimId("s", 1, 9),
                        ReplicationMessage.ClaimVote.GRANTED,
                        Optional.empty(),
                        Optional.empty(),
                        900),
                now);
        keepers.put("a", keeper("a", Map.of(), 850, true));
        Replica a = keepers.get("a");
        a.receive(
                "s",
                new ReplicationMessage.ClaimRequest(3, "y", new ClaimId("s", 1, 10), "b", WINDOW),
                now);
        assertThat(((ReplicationMessage.ClaimReply) a.takeOutbound().get(0).message()).vote())
                .as("before it knows")
                .isEqualTo(ReplicationMessage.ClaimVote.LAGGING);
        beats(100);
        assertThat(a.staleDisks()).isEqualTo(1);
        assertThat(a.laggingRangeCount()).isZero();
        assertThat(a.changeNumber()).isGreaterThan(900);
        same();
    }

    @Test
    void aDiskAsNewAsItsWordCountsOnceTheOthersHaveSaidSo() {
        keepers.put("b", keeper("b", Map.of(), 0, false));
        keepers.put("c", keeper("c", Map.of(), 0, false));
        owner.receive(
                "a",
                new ReplicationMessage.OutcomeStored(3, "x", new ClaimId("s", 1, 9), 850),
                now);
        keepers.put("a", keeper("a", Map.of(), 850, true));
        beats(100);
        assertThat(keepers.get("a").isCheckingDisk()).isFalse();
        assertThat(keepers.get("a").staleDisks()).isZero();
    }

    @Test
    void whatOneMissedWhileItWasAwayIsBroughtToItFirst() {
        keepers.put("a", keeper("a", Map.of(), 0, false));
        keepers.put("b", keeper("b", Map.of(), 0, false));
        keepers.put("c", keeper("c", Map.of(), 0, false));
        keepers.get("b").observeLivePeers(Set.of("b", "c"));
        for (int i = 0; i < 40; i++) {
            for (String each : List.of("b", "c")) {
                keepers.get(each)
                        .receive(
                                "x",
                                new ReplicationMessage.ClaimRequest(
                                        3, "t" + i, new ClaimId("x", 1, i), "body", WINDOW),
                                now);
            }
        }
        assertThat(keepers.get("b").hintCount()).isBetween(20, 40);
        keepers.get("b").observeLivePeers(Set.of("a", "b", "c"));
        beats(80);
        assertThat(keepers.get("b").hintCount()).isZero();
        assertThat(keepers.get("a").entryCount()).isEqualTo(40);
    }

    @Test
    void aLongResultCountsAsKeptOnceAllItsPiecesAreThere() {
        for (String each : List.of("a", "b", "c")) {
            keepers.put(each, keeper(each, Map.of(), 0, false));
        }
        loses = 0.2;
        String result = "0123456789".repeat(5_000);
        boolean[] runs = {false};
        boolean[] kept = {false};
        owner.claim(
                "t",
                "body",
                false,
                now.plusSeconds(5),
                now.plus(WINDOW),
                now,
                verdict -> {
                    runs[0] = verdict.kind() == ClaimDecision.Kind.RUN;
                    owner.reportOutcome(
                            verdict.claimId(),
                            ClaimOutcome.chunked("body", result),
                            result,
                            now.plusSeconds(20),
                            now.plus(WINDOW),
                            now,
                            good -> kept[0] = good);
                });
        for (int i = 0; i < 400 && !kept[0]; i++) {
            beats(1);
            owner.tick(now);
        }
        assertThat(runs[0]).isTrue();
        assertThat(kept[0]).isTrue();
        long whole =
                keepers.values().stream()
                        .filter(
                                each ->
                                        each.entry("t")
                                                .canonicalOutcome()
                                                .map(ClaimOutcome::resultPresent)
                                                .orElse(false))
                        .count();
        assertThat(whole).as("a majority has the bytes").isGreaterThanOrEqualTo(2);
    }

    @Test
    void aWindowOfAnyLengthIsKeptNoLongerThanTheLongest() {
        Replica a = keeper("a", Map.of(), 0, false);
        a.receive(
                "x",
                new ReplicationMessage.ClaimRequest(
                        3, "t", new ClaimId("x", 1, 1), "body", Duration.ofDays(900)),
                now);
        assertThat(a.entry("t").expiresAt()).isEqualTo(now.plus(WINDOW));
    }
}
