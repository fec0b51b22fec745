package ochretiller.fleet.copies;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import ochretiller.fleet.epochs.Layout;
import org.junit.jupiter.api.Test;

/** What a keeper answers, what a server makes of it, how copies become one. */
class CopiesTest {
    private static final Duration WINDOW = Duration.ofSeconds(20);
    private static final List<Layout.Server> THREE =
            List.of(
                    new Layout.Server("a", "1"),
                    new Layout.Server("b", "2"),
                    new Layout.Server("c", "3"));
    private static final Layout LAYOUT = new Layout(3, THREE, THREE, 3);
    private final ClaimId one = new ClaimId("s", 1, 1);
    private final ClaimId two = new ClaimId("t", 1, 1);
    private final Outcome good = new Outcome(true, "body", "result");
    private final Duration now = Duration.ofSeconds(5);
    private final Keeper keeper =
            new Keeper("a", new Keeper.Disk(LAYOUT, Map.of()), LAYOUT, 3, WINDOW, now);

    private CopyMessage.Answer answer(Keeper of, CopyMessage message) {
        of.received("s", message, now);
        return (CopyMessage.Answer) of.outs().get(0).message();
    }

    private CopyMessage.Word claim(Keeper of, ClaimId id, long epoch) {
        return answer(of, new CopyMessage.Claim(epoch, "t", id, "body", WINDOW)).word();
    }

    @Test
    void theFirstClaimIsGrantedAndHeldAgainstOthers() {
        assertThat(claim(keeper, one, 3)).isEqualTo(CopyMessage.Word.GRANTED);
        assertThat(claim(keeper, one, 3)).as("said twice").isEqualTo(CopyMessage.Word.GRANTED);
        assertThat(claim(keeper, two, 3)).isEqualTo(CopyMessage.Word.HELD);
        keeper.received("s", new CopyMessage.Release("t", one, WINDOW), now);
        assertThat(claim(keeper, two, 3)).isEqualTo(CopyMessage.Word.GRANTED);
        assertThat(claim(keeper, one, 3)).as("never again").isEqualTo(CopyMessage.Word.RELEASED);
    }

    @Test
    void aReleaseThatOvertakesItsClaimHolds() {
        keeper.received("s", new CopyMessage.Release("t", one, WINDOW), now);
        assertThat(claim(keeper, one, 3)).isEqualTo(CopyMessage.Word.RELEASED);
    }

    @Test
    void onlyThePresentEpochIsAnsweredFor() {
        assertThat(claim(keeper, one, 2)).isEqualTo(CopyMessage.Word.STALE);
        assertThat(claim(keeper, one, 4)).isEqualTo(CopyMessage.Word.BEHIND);
        keeper.received("s", new CopyMessage.Ended(2, "t", one, good, WINDOW, Map.of()), now);
        assertThat(keeper.outs()).as("kept, and not counted").isEmpty();
        assertThat(claim(keeper, two, 2))
                .as("an end is true in any epoch")
                .isEqualTo(CopyMessage.Word.DONE);
    }

    @Test
    void whatIsPastItsWindowIsForgottenAndStaysSo() {
        claim(keeper, one, 3);
        keeper.tick(now.plus(WINDOW));
        assertThat(keeper.size()).isZero();
        Entry late = Entry.NOTHING.claimed(one, "body", now);
        keeper.received(
                "b",
                new CopyMessage.Page(
                        3,
                        Layout.range("t"),
                        1,
                        List.of(new CopyMessage.Item("t", late, Duration.ZERO)),
                        CopyMessage.Place.START,
                        true,
                        true,
                        true,
                        List.of(),
                        1,
                        0),
                now);
        assertThat(keeper.size()).isZero();
    }

    @Test
    void aFullKeeperSaysSo() {
        for (int i = 0; i < 3; i++) {
            keeper.received(
                    "s",
                    new CopyMessage.Claim(3, "x" + i, new ClaimId("s", 1, 10 + i), "b", WINDOW),
                    now);
        }
        keeper.outs();
        assertThat(claim(keeper, one, 3)).isEqualTo(CopyMessage.Word.FULL);
    }

    @Test
    void aKeeperWithoutItsDiskDoesNotCountUntilTheOthersHaveToldIt() {
        Keeper blank = new Keeper("a", null, LAYOUT, 100, WINDOW, now);
        Keeper b = new Keeper("b", new Keeper.Disk(LAYOUT, Map.of()), LAYOUT, 100, WINDOW, now);
        Keeper c = new Keeper("c", new Keeper.Disk(LAYOUT, Map.of()), LAYOUT, 100, WINDOW, now);
        claim(b, one, 3);
        assertThat(claim(blank, two, 3)).isEqualTo(CopyMessage.Word.BEHIND);
        for (int i = 0; i < 200; i++) {
            exchange(blank, Map.of("b", b));
        }
        assertThat(claim(blank, two, 3))
                .as("one of two others is not enough")
                .isEqualTo(CopyMessage.Word.BEHIND);
        for (int i = 0; i < 200 && blank.behind() > 0; i++) {
            exchange(blank, Map.of("b", b, "c", c));
        }
        assertThat(blank.behind()).isZero();
        assertThat(claim(blank, two, 3)).isEqualTo(CopyMessage.Word.HELD);
    }

    @Test
    void aRangeIsFetchedPageByPageBeforeANewKeeperCounts() {
        Layout next = LAYOUT.with(new Layout.Server("d", "4"));
        Keeper b = new Keeper("b", new Keeper.Disk(LAYOUT, Map.of()), LAYOUT, 10_000, WINDOW, now);
        Keeper c = new Keeper("c", new Keeper.Disk(LAYOUT, Map.of()), LAYOUT, 10_000, WINDOW, now);
        List<String> tokens = new ArrayList<>();
        for (int i = 0; tokens.size() < 100; i++) {
            String token = "t" + i;
            if (!next.keepers(Layout.range(token)).contains("d")) {
                continue;
            }
            tokens.add(token);
            for (Keeper each : List.of(b, c)) {
                each.received(
                        "s",
                        new CopyMessage.Claim(3, token, new ClaimId("s", 1, i), "body", WINDOW),
                        now);
            }
        }
        b.outs();
        c.outs();
        Keeper d = new Keeper("d", null, Layout.none(3), 10_000, WINDOW, now);
        d.become(new Layout(3, THREE, THREE, 3), now);
        d.become(next, now);
        assertThat(d.behind()).isPositive();
        for (int i = 0; i < 400 && d.behind() > 0; i++) {
            exchange(d, Map.of("b", b, "c", c));
        }
        assertThat(d.behind()).isZero();
        assertThat(b.layout().epoch()).as("who is asked answers for no older epoch").isEqualTo(4);
        for (String token : tokens) {
            assertThat(d.entry(token).claims()).hasSize(1);
        }
    }

    /** What one asks of others, and their answers; who is not there says nothing. */
    private void exchange(Keeper asker, Map<String, Keeper> others) {
        asker.tick(now.plusMillis(++looks * 20L));
        for (Keeper.Out out : asker.outs()) {
            Keeper other = others.get(out.to());
            if (other == null) {
                continue;
            }
            other.received("x", out.message(), now);
            for (Keeper.Out back : other.outs()) {
                if (back.message() instanceof CopyMessage.Page page) {
                    asker.received(out.to(), page, now);
                }
            }
        }
    }

    private int looks;

    @Test
    void joinsAreTheSameInAnyOrderAndAnyNumberOfTimes() {
        SplittableRandom chance = new SplittableRandom(4);
        for (int i = 0; i < 2_000; i++) {
            List<Entry> entries = new ArrayList<>();
            for (int n = 0; n < 3; n++) {
                entries.add(drawn(chance));
            }
            Entry a = entries.get(0);
            Entry b = entries.get(1);
            Entry c = entries.get(2);
            assertThat(a.join(b).join(c)).isEqualTo(c.join(a).join(b)).isEqualTo(a.join(b.join(c)));
            assertThat(a.join(b).join(b).join(a)).isEqualTo(a.join(b));
            assertThat(a.join(b).until()).isGreaterThanOrEqualTo(a.until());
        }
    }

    private Entry drawn(SplittableRandom chance) {
        Entry entry = Entry.NOTHING;
        for (int i = 0; i < chance.nextInt(4); i++) {
            ClaimId id = new ClaimId("s" + chance.nextInt(3), 1, 1);
            Duration until = Duration.ofSeconds(chance.nextInt(9));
            entry =
                    switch (chance.nextInt(3)) {
                        case 0 -> entry.claimed(id, "body " + id, until);
                        case 1 -> entry.release(id, until);
                        default ->
                                entry.ended(
                                        id, new Outcome(true, "body " + id, "result " + id), until);
                    };
        }
        return entry;
    }

    @Test
    void twoEndsOfOneTokenAreKeptCountedAndAnsweredInOneWay() {
        keeper.received(
                "s",
                new CopyMessage.Ended(
                        3, "t", two, new Outcome(true, "body", "second"), WINDOW, Map.of()),
                now);
        keeper.received("s", new CopyMessage.Ended(3, "t", one, good, WINDOW, Map.of()), now);
        keeper.outs();
        assertThat(keeper.conflicts()).isEqualTo(1);
        assertThat(answer(keeper, new CopyMessage.Look(3, "t", two)).outcome()).contains(good);
    }

    // ---- the server's side

    private final List<Verdict> verdicts = new ArrayList<>();
    private final Claims claims = new Claims("s", 1, LAYOUT, new SplittableRandom(1));

    private ClaimId begin() {
        claims.outs();
        claims.claim("t", "body", false, now.plusSeconds(2), now.plus(WINDOW), now, verdicts::add);
        return ((CopyMessage.Claim) claims.outs().get(0).message()).id();
    }

    private void says(
            String keeperName,
            ClaimId id,
            CopyMessage.Word word,
            Optional<ClaimId> other,
            Optional<Outcome> outcome) {
        claims.received(
                keeperName, new CopyMessage.Answer(3, "t", id, word, other, outcome, 1), now);
    }

    private Verdict.What only() {
        assertThat(verdicts).hasSize(1);
        return verdicts.get(0).what();
    }

    @Test
    void aMajorityOfGrantsRuns() {
        ClaimId id = begin();
        says("a", id, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        assertThat(verdicts).isEmpty();
        says("a", id, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        assertThat(verdicts).as("one keeper counts once").isEmpty();
        says("c", id, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        assertThat(only()).isEqualTo(Verdict.What.RUN);
    }

    @Test
    void aGrantOfAnotherEpochCountsForNothing() {
        ClaimId id = begin();
        claims.received(
                "a",
                new CopyMessage.Answer(
                        2,
                        "t",
                        id,
                        CopyMessage.Word.GRANTED,
                        Optional.empty(),
                        Optional.empty(),
                        1),
                now);
        says("b", id, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        assertThat(verdicts).isEmpty();
    }

    @Test
    void oneEndIsEnoughToReplay() {
        ClaimId id = begin();
        says("b", id, CopyMessage.Word.DONE, Optional.empty(), Optional.of(good));
        assertThat(only()).isEqualTo(Verdict.What.REPLAY);
        assertThat(claims.outs())
                .as("what it claimed elsewhere is let go")
                .anyMatch(out -> out.message() instanceof CopyMessage.Release);
    }

    @Test
    void anotherBodyAndAFailedRunAreToldApart() {
        says(
                "b",
                begin(),
                CopyMessage.Word.DONE,
                Optional.empty(),
                Optional.of(new Outcome(true, "other", "result")));
        says(
                "b",
                begin(),
                CopyMessage.Word.DONE,
                Optional.empty(),
                Optional.of(new Outcome(false, "body", "")));
        assertThat(verdicts)
                .extracting(Verdict::what)
                .containsExactly(Verdict.What.OTHER_BODY, Verdict.What.ENDED);
    }

    @Test
    void silenceIsThrottledAndTheClaimNeverRuns() {
        ClaimId id = begin();
        says("a", id, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        for (int ms = 0; ms < 600; ms += 20) {
            claims.tick(now.plusMillis(ms));
        }
        assertThat(only()).isEqualTo(Verdict.What.THROTTLED);
        says("b", id, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        assertThat(verdicts).as("a grant that comes late").hasSize(1);
        claims.outs();
        claims.received("x", new CopyMessage.Whether("t", id), now);
        assertThat(claims.outs())
                .as("asked, it says so again")
                .isNotEmpty()
                .allMatch(out -> out.message() instanceof CopyMessage.Release);
    }

    @Test
    void keepersThatAreKnownToBeSilentAreNotWaitedFor() {
        begin();
        for (int ms = 0; ms < 600; ms += 20) {
            claims.tick(now.plusMillis(ms));
        }
        verdicts.clear();
        claims.outs();
        Duration later = now.plusSeconds(1);
        for (int i = 0; i < 2; i++) {
            claims.claim(
                    "t",
                    "body",
                    false,
                    later.plusSeconds(2),
                    later.plus(WINDOW),
                    later,
                    verdicts::add);
        }
        assertThat(verdicts)
                .as("both are throttled at once")
                .extracting(Verdict::what)
                .containsExactly(Verdict.What.THROTTLED, Verdict.What.THROTTLED);
        assertThat(claims.outs())
                .as("one question to each goes out to see")
                .hasSize(3)
                .allMatch(out -> out.message() instanceof CopyMessage.Look);
        claims.received(
                "a",
                new CopyMessage.Answer(
                        3, "t", one, CopyMessage.Word.FREE, Optional.empty(), Optional.empty(), 1),
                later);
        claims.received(
                "b",
                new CopyMessage.Answer(
                        3, "t", one, CopyMessage.Word.FREE, Optional.empty(), Optional.empty(), 1),
                later);
        verdicts.clear();
        claims.claim(
                "t", "body", false, later.plusSeconds(2), later.plus(WINDOW), later, verdicts::add);
        assertThat(verdicts).as("two of three are back: it is claimed").isEmpty();
    }

    @Test
    void aServerThatSleptRunsNothingOld() {
        ClaimId id = begin();
        says("a", id, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        claims.received(
                "b",
                new CopyMessage.Answer(
                        3,
                        "t",
                        id,
                        CopyMessage.Word.GRANTED,
                        Optional.empty(),
                        Optional.empty(),
                        1),
                now.plusSeconds(60));
        assertThat(only()).isEqualTo(Verdict.What.THROTTLED);
    }

    @Test
    void aServerStopsClaimingOnceNobodyMayHaveClaimedForGood() {
        Modes modes =
                new Modes(
                        new Modes.Told(Modes.Mode.SERVER, Map.of("order", Modes.Mode.FLEET)),
                        WINDOW,
                        now);
        assertThat(modes.before("order", now)).isEqualTo(Modes.Before.CLAIM);
        assertThat(modes.before("other", now)).isEqualTo(Modes.Before.CLAIM_STILL);
        assertThat(modes.before("other", now.plus(WINDOW))).isEqualTo(Modes.Before.NOTHING);
        modes.claimed("order", false, now.plusSeconds(15));
        modes.claimed("other", true, now.plusSeconds(15));
        assertThat(modes.before("other", now.plus(WINDOW)))
                .as("an operation that stays the fleet's, a server that stops too")
                .isEqualTo(Modes.Before.NOTHING);
        modes.claimed("other", false, now.plusSeconds(15));
        assertThat(modes.before("other", now.plus(WINDOW)))
                .as("another server still claims")
                .isEqualTo(Modes.Before.CLAIM_STILL);
        assertThat(modes.before("other", now.plusSeconds(15).plus(WINDOW)))
                .isEqualTo(Modes.Before.NOTHING);
    }

    @Test
    void whoIsHeldOffMakesWayAndLooksForTheEnd() {
        ClaimId id = begin();
        says("a", id, CopyMessage.Word.HELD, Optional.of(two), Optional.empty());
        says("b", id, CopyMessage.Word.HELD, Optional.of(two), Optional.empty());
        assertThat(verdicts).isEmpty();
        assertThat(claims.outs())
                .extracting(out -> out.message().getClass().getSimpleName())
                .contains("Release", "Whether");
        claims.tick(now.plusMillis(100));
        CopyMessage.Look look =
                claims.outs().stream()
                        .map(Keeper.Out::message)
                        .filter(CopyMessage.Look.class::isInstance)
                        .map(CopyMessage.Look.class::cast)
                        .findFirst()
                        .orElseThrow();
        says("c", look.id(), CopyMessage.Word.DONE, Optional.empty(), Optional.of(good));
        assertThat(only()).isEqualTo(Verdict.What.REPLAY);
    }

    @Test
    void anUnknownEndIsErroredByItsDueTime() {
        ClaimId id = begin();
        says("a", id, CopyMessage.Word.HELD, Optional.of(two), Optional.empty());
        says("b", id, CopyMessage.Word.HELD, Optional.of(two), Optional.empty());
        claims.tick(now.plusSeconds(2));
        assertThat(only()).isEqualTo(Verdict.What.UNKNOWN);
    }

    @Test
    void anAnswerWaitsForAMajorityThatKeepsItsEnd() {
        ClaimId id = begin();
        says("a", id, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        says("b", id, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        List<Boolean> kept = new ArrayList<>();
        claims.ended(id, good, null, now.plusSeconds(2), now.plus(WINDOW), now, kept::add);
        claims.received("a", new CopyMessage.Kept(3, "t", id, 1), now);
        assertThat(kept).isEmpty();
        claims.received("c", new CopyMessage.Kept(3, "t", id, 1), now);
        assertThat(kept).containsExactly(true);
        ClaimId other = begin();
        says("a", other, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        says("b", other, CopyMessage.Word.GRANTED, Optional.empty(), Optional.empty());
        claims.ended(other, good, null, now.plusSeconds(2), now.plus(WINDOW), now, kept::add);
        claims.tick(now.plusSeconds(2));
        assertThat(kept).as("by its due time, whatever is known").containsExactly(true, false);
    }
}
