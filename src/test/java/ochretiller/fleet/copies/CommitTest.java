package ochretiller.fleet.copies;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import ochretiller.fleet.epochs.Layout;
import org.junit.jupiter.api.Test;

/** Which words leave, and when. */
class CommitTest {
    private final Commit commit = new Commit(new SplittableRandom(3));
    private Duration now = Duration.ofSeconds(1);

    private static Keeper.Out word(String name) {
        return new Keeper.Out(name, new CopyMessage.Look(1, name, new ClaimId("s", 1, 1)));
    }

    private List<Commit.Write> changed(
            List<String> tokens, boolean place, List<Keeper.Out> outs, List<Keeper.Out> said) {
        return commit.changed(tokens, place, outs, said);
    }

    @Test
    void aWordLeavesBehindItsChangesAndAllBeforeThem() {
        List<Keeper.Out> said = new ArrayList<>();
        List<Commit.Write> first = changed(List.of("x", "y"), false, List.of(word("a")), said);
        List<Commit.Write> none = changed(List.of(), false, List.of(word("b")), said);
        assertThat(none).isEmpty();
        assertThat(said).as("b might tell of x").isEmpty();
        assertThat(commit.acked(first.get(0), true, now)).isEmpty();
        assertThat(commit.acked(first.get(1), true, now)).containsExactly(word("a"), word("b"));
        changed(List.of(), false, List.of(word("c")), said);
        assertThat(said).as("nothing is under way").containsExactly(word("c"));
    }

    @Test
    void aPlaceIsWrittenBehindTheEntriesThatItSpeaksOf() {
        assertThat(changed(List.of("x"), true, List.of(), new ArrayList<>()))
                .extracting(Commit.Write::token)
                .containsExactly("x", null);
    }

    @Test
    void behindAFailureNothingIsSaidUntilAllIsWrittenAnew() {
        List<Keeper.Out> said = new ArrayList<>();
        List<Commit.Write> first = changed(List.of("x", "y"), false, List.of(word("a")), said);
        assertThat(commit.acked(first.get(0), false, now)).isEmpty();
        assertThat(commit.sick()).isTrue();
        assertThat(changed(List.of("z"), true, List.of(word("b")), said))
                .as("it waits for the next try")
                .isEmpty();
        assertThat(commit.acked(first.get(1), true, now)).as("of before the failure").isEmpty();
        now = now.plusSeconds(10);
        List<Commit.Write> again = commit.tick(now);
        assertThat(again).extracting(Commit.Write::token).containsExactly("x", "y", "z", null);
        assertThat(commit.tick(now.plusSeconds(10))).as("one try at a time").isEmpty();
        for (Commit.Write each : again) {
            assertThat(commit.sick()).isTrue();
            assertThat(commit.acked(each, true, now)).isEmpty();
        }
        assertThat(commit.sick()).isFalse();
        assertThat(said).as("what was not said is lost, as on the way").isEmpty();
        assertThat(commit.unsaid()).isEqualTo(2);
        changed(List.of(), false, List.of(word("c")), said);
        assertThat(said).containsExactly(word("c"));
    }

    /**
     * A keeper on a disk that fails, stalls and loses what was not acknowledged: what it has said
     * it knows behind each end.
     */
    @Test
    void whatWasSaidIsOnTheDiskWhateverBecomesOfIt() {
        int words = 0;
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            Layout layout = new Layout(2, List.of(new Layout.Server("a", "")), List.of(), 1);
            Keeper keeper =
                    new Keeper(
                            "a",
                            new Keeper.Disk(layout, java.util.Map.of()),
                            layout,
                            1_000,
                            Duration.ofMinutes(1),
                            now);
            Commit of = new Commit(chance);
            Set<String> disk = new HashSet<>();
            List<Commit.Write> underWay = new ArrayList<>();
            Set<String> said = new HashSet<>();
            for (int step = 0; step < 200; step++) {
                now = now.plusMillis(40);
                keeper.received(
                        "s",
                        new CopyMessage.Claim(
                                2,
                                "t" + chance.nextInt(80),
                                new ClaimId("s", 1, 1),
                                "b",
                                Duration.ofSeconds(50)),
                        now);
                List<Keeper.Out> say = new ArrayList<>();
                underWay.addAll(of.changed(keeper.changes(), keeper.moved(), keeper.outs(), say));
                underWay.addAll(of.tick(now));
                for (int i = chance.nextInt(4); i > 0 && !underWay.isEmpty(); i--) {
                    Commit.Write write = underWay.remove(0);
                    boolean good = chance.nextInt(60) != 0;
                    if ((good || chance.nextBoolean()) && write.token() != null) {
                        disk.add(write.token());
                    }
                    say.addAll(of.acked(write, good, now));
                }
                for (Keeper.Out out : say) {
                    CopyMessage.Answer answer = (CopyMessage.Answer) out.message();
                    if (answer.word() == CopyMessage.Word.GRANTED) {
                        said.add(answer.token());
                    }
                }
                assertThat(disk).as("seed " + seed).containsAll(said);
            }
            words += said.size();
        }
        assertThat(words).as("it says what it can").isGreaterThan(5_000);
    }
}
