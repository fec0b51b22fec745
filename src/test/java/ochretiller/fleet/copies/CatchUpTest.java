package ochretiller.fleet.copies;

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
import ochretiller.fleet.epochs.Layout;
import org.junit.jupiter.api.Test;

/** Copies that become equal, keepers that come back, long results on their way. */
class CatchUpTest {
    private static final Duration WINDOW = Duration.ofSeconds(60);
    private static final List<Layout.Server> THREE =
            List.of(
                    new Layout.Server("a", "1"),
                    new Layout.Server("b", "2"),
                    new Layout.Server("c", "3"));
    private static final Layout LAYOUT = new Layout(3, THREE, THREE, 3);

    private final Map<String, Keeper> keepers = new TreeMap<>();
    private final Claims owner = new Claims("s", 1, LAYOUT, new SplittableRandom(1));
    private final SplittableRandom chance = new SplittableRandom(5);
    private Duration now = Duration.ofSeconds(1);
    private double loses;
    private long pageBytes;

    private static Keeper.Bounds bounds(double perSecond) {
        return new Keeper.Bounds(100_000, Long.MAX_VALUE, perSecond, WINDOW);
    }

    private Keeper keeper(String name, Map<String, Entry> entries, long number, boolean returns) {
        return new Keeper(
                name,
                new Keeper.Disk(LAYOUT, entries, Set.of(), Set.of(), Set.of(), number, returns),
                LAYOUT,
                bounds(64 << 20),
                0,
                now);
    }

    private Map<String, Entry> entries(int count) {
        Map<String, Entry> all = new HashMap<>();
        for (int i = 0; i < count; i++) {
            ClaimId id = new ClaimId("s", 1, i);
            all.put(
                    "token-" + i,
                    Entry.NOTHING.ended(
                            id,
                            new Outcome(true, "body", "result " + i),
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
                        each.outs().forEach(out -> underWay.add(new Object[] {name, out}));
                    });
            owner.outs().forEach(out -> underWay.add(new Object[] {"s", out}));
            while (!underWay.isEmpty()) {
                Object[] sent = underWay.poll();
                Keeper.Out out = (Keeper.Out) sent[1];
                if (out.message() instanceof CopyMessage.Page page) {
                    for (CopyMessage.Item item : page.items()) {
                        pageBytes += item.bytes();
                    }
                }
                if (chance.nextDouble() < loses) {
                    continue;
                }
                Keeper to = keepers.get(out.to());
                if (out.to().equals("s") || out.message() instanceof CopyMessage.Recollect) {
                    if (out.message() instanceof CopyMessage.Want want) {
                        String result = owner.result(want.id());
                        CopyMessage.Piece piece = result == null ? null : Pieces.cut(want, result);
                        if (piece != null) {
                            underWay.add(
                                    new Object[] {"s", new Keeper.Out((String) sent[0], piece)});
                        }
                    }
                    owner.received((String) sent[0], out.message(), now);
                    owner.outs().forEach(each -> underWay.add(new Object[] {"s", each}));
                }
                if (to == null) {
                    continue;
                }
                to.received((String) sent[0], out.message(), now);
                to.wholes().forEach(to::shelved);
                to.outs().forEach(each -> underWay.add(new Object[] {out.to(), each}));
            }
        }
    }

    private void same() {
        for (int range = 0; range < Layout.RANGES; range++) {
            assertThat(keepers.get("a").digest(range))
                    .as("range " + range)
                    .isEqualTo(keepers.get("b").digest(range))
                    .isEqualTo(keepers.get("c").digest(range));
        }
    }

    @Test
    void whatDiffersIsFetchedAndNothingElse() {
        Map<String, Entry> all = entries(2_000);
        Map<String, Entry> less = new HashMap<>(all);
        for (int i = 0; i < 30; i++) {
            less.remove("token-" + i * 7);
        }
        keepers.put("a", keeper("a", less, 0, false));
        keepers.put("b", keeper("b", all, 0, false));
        keepers.put("c", keeper("c", all, 0, false));
        keepers.get("a").compareAll();
        beats(200);
        same();
        assertThat(keepers.get("a").fetched()).isEqualTo(30);
    }

    @Test
    void whatHasNoRoomInAPageIsAskedForByItsMarks() {
        Map<String, Entry> all = new HashMap<>();
        for (int i = 0; i < 2_000; i++) {
            all.put(
                    "token-" + i,
                    Entry.NOTHING.ended(
                            new ClaimId("s", 1, i),
                            new Outcome(true, "body", "r".repeat(1_500) + i),
                            now.plusSeconds(20 + i % 30)));
        }
        Map<String, Entry> less = new HashMap<>(all);
        for (int i = 0; i < 900; i++) {
            less.remove("token-" + i);
        }
        keepers.put("a", keeper("a", less, 0, false));
        keepers.put("b", keeper("b", all, 0, false));
        keepers.put("c", keeper("c", all, 0, false));
        keepers.get("a").compareAll();
        loses = 0.05;
        // What changes meanwhile bears another mark.
        for (int i = 0; i < 300; i++) {
            beats(1);
            for (String each : List.of("b", "c")) {
                keepers.get(each)
                        .received(
                                "x",
                                new CopyMessage.Release(
                                        "token-" + i % 900, new ClaimId("x", 1, i), WINDOW),
                                now);
            }
        }
        keepers.get("a").compareAll();
        loses = 0;
        beats(400);
        same();
        assertThat(keepers.get("a").fetched())
                .as("each once, and those that changed again")
                .isLessThan(900 + 300 + 300);
    }

    @Test
    void anEmptyOneHasAllWhateverIsLostOnTheWayAndNothingIsFetchedTwiceForThat() {
        Map<String, Entry> all = entries(3_000);
        keepers.put("a", new Keeper("a", null, LAYOUT, bounds(64 << 20), 1, now));
        keepers.put("b", keeper("b", all, 0, false));
        keepers.put("c", keeper("c", all, 0, false));
        loses = 0.1;
        beats(600);
        assertThat(keepers.get("a").behind()).isZero();
        assertThat(keepers.get("a").size()).isEqualTo(3_000);
        assertThat(keepers.get("a").fetched())
                .as("the second source tells only what the first did not")
                .isLessThan(4_000);
        same();
    }

    @Test
    void catchingUpStaysWithinItsAllowance() {
        Map<String, Entry> all = entries(9_000);
        keepers.put("a", new Keeper("a", null, LAYOUT, bounds(200_000), 1, now));
        keepers.put("b", keeper("b", all, 0, false));
        keepers.put("c", keeper("c", all, 0, false));
        beats(100);
        assertThat(pageBytes)
                .as("two seconds of the allowance, and what was saved up of it")
                .isLessThan(2 * 200_000 + 256 * 1024 + 6 * Keeper.PAGE + 5_000);
        assertThat(keepers.get("a").behind()).isPositive();
    }

    @Test
    void aDiskThatIsOlderThanItsWordIsFoundAndCountsAsLost() {
        Map<String, Entry> all = entries(200);
        keepers.put("b", keeper("b", all, 0, false));
        keepers.put("c", keeper("c", all, 0, false));
        owner.received(
                "a",
                new CopyMessage.Answer(
                        3,
                        "x",
                        new ClaimId("s", 1, 9),
                        CopyMessage.Word.GRANTED,
                        Optional.empty(),
                        Optional.empty(),
                        900),
                now);
        keepers.put("a", keeper("a", Map.of(), 850, true));
        Keeper a = keepers.get("a");
        a.received("s", new CopyMessage.Claim(3, "y", new ClaimId("s", 1, 10), "b", WINDOW), now);
        assertThat(((CopyMessage.Answer) a.outs().get(0).message()).word())
                .as("before it knows")
                .isEqualTo(CopyMessage.Word.BEHIND);
        beats(100);
        assertThat(a.oldDisks()).isEqualTo(1);
        assertThat(a.behind()).isZero();
        assertThat(a.number()).isGreaterThan(900);
        same();
    }

    @Test
    void aDiskAsNewAsItsWordCountsOnceTheOthersHaveSaidSo() {
        keepers.put("b", keeper("b", Map.of(), 0, false));
        keepers.put("c", keeper("c", Map.of(), 0, false));
        owner.received("a", new CopyMessage.Kept(3, "x", new ClaimId("s", 1, 9), 850), now);
        keepers.put("a", keeper("a", Map.of(), 850, true));
        beats(100);
        assertThat(keepers.get("a").returning()).isFalse();
        assertThat(keepers.get("a").oldDisks()).isZero();
    }

    @Test
    void whatOneMissedWhileItWasAwayIsBroughtToItFirst() {
        keepers.put("a", keeper("a", Map.of(), 0, false));
        keepers.put("b", keeper("b", Map.of(), 0, false));
        keepers.put("c", keeper("c", Map.of(), 0, false));
        keepers.get("b").there(Set.of("b", "c"));
        for (int i = 0; i < 40; i++) {
            for (String each : List.of("b", "c")) {
                keepers.get(each)
                        .received(
                                "x",
                                new CopyMessage.Claim(
                                        3, "t" + i, new ClaimId("x", 1, i), "body", WINDOW),
                                now);
            }
        }
        assertThat(keepers.get("b").hints()).isBetween(20, 40);
        keepers.get("b").there(Set.of("a", "b", "c"));
        beats(80);
        assertThat(keepers.get("b").hints()).isZero();
        assertThat(keepers.get("a").size()).isEqualTo(40);
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
                    runs[0] = verdict.what() == Verdict.What.RUN;
                    owner.ended(
                            verdict.claim(),
                            Outcome.apart("body", result),
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
                        .filter(each -> each.entry("t").outcome().map(Outcome::here).orElse(false))
                        .count();
        assertThat(whole).as("a majority has the bytes").isGreaterThanOrEqualTo(2);
    }

    @Test
    void aWindowOfAnyLengthIsKeptNoLongerThanTheLongest() {
        Keeper a = keeper("a", Map.of(), 0, false);
        a.received(
                "x",
                new CopyMessage.Claim(3, "t", new ClaimId("x", 1, 1), "body", Duration.ofDays(900)),
                now);
        assertThat(a.entry("t").until()).isEqualTo(now.plus(WINDOW));
    }
}
