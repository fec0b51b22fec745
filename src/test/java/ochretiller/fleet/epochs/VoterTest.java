package ochretiller.fleet.epochs;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Voters that agree, with messages in any order, lost, doubled, and voters that come back with or
 * without their disks.
 */
class VoterTest {
    private static final Set<String> NAMES = Set.of("a", "b", "c");
    private final Map<String, Voter> voters = new TreeMap<>();
    private final List<Object[]> underWay = new ArrayList<>();

    private static Layout.Server server(String name) {
        return new Layout.Server(name, "z" + name);
    }

    private void all() {
        for (String name : NAMES) {
            voters.put(name, new Voter(name, NAMES, null, 3, true, 0));
        }
    }

    private void collect(String from) {
        for (Voter.Out out : voters.get(from).outs()) {
            for (String to : NAMES) {
                if (!to.equals(from) && out.to().map(to::equals).orElse(true)) {
                    underWay.add(new Object[] {from, to, out.message()});
                }
            }
        }
    }

    private void deliver(int which) {
        Object[] sent = underWay.remove(which);
        String to = (String) sent[1];
        if (voters.get(to) == null) {
            return;
        }
        voters.get(to).received((String) sent[0], (EpochMessage) sent[2]);
        collect(to);
    }

    private void settle() {
        while (!underWay.isEmpty()) {
            deliver(0);
        }
    }

    @Test
    void oneEpochFollowsTheOther() {
        all();
        for (String name : List.of("x", "y")) {
            voters.get("a").attempt(voters.get("a").agreed().with(server(name)));
            collect("a");
            settle();
        }
        for (Voter each : voters.values()) {
            assertThat(each.agreed().servers())
                    .extracting(Layout.Server::name)
                    .containsExactly("x", "y");
        }
        assertThat(voters.get("c").agreed().epoch()).isEqualTo(2);
    }

    @Test
    void whatWasAcceptedByAnyIsNotOvertaken() {
        all();
        voters.get("a").attempt(Layout.none(3).with(server("x")));
        collect("a");
        // b promises and accepts; c hears of nothing, and a is gone before it knows.
        for (int i = 0; i < 3; i++) {
            underWay.removeIf(sent -> sent[1].equals("c"));
            deliver(0);
        }
        assertThat(voters.get("b").promised().accepted()).isNotNull();
        underWay.clear();
        voters.remove("a");
        voters.get("c").attempt(Layout.none(3).with(server("y")));
        collect("c");
        settle();
        assertThat(voters.get("c").agreed().servers())
                .extracting(Layout.Server::name)
                .containsExactly("x");
    }

    @Test
    void aVoterWithoutItsDiskAbstainsFromWhatItMayHavePromised() {
        all();
        voters.get("a").attempt(Layout.none(3).with(server("x")));
        collect("a");
        underWay.removeIf(sent -> sent[1].equals("c"));
        deliver(0);
        underWay.clear();
        voters.put("b", new Voter("b", NAMES, null, 3, false, 0));
        voters.get("b").received("c", new EpochMessage.Prepare(1, new Ballot(9, "c")));
        assertThat(voters.get("b").outs()).as("it says nothing before it knows").isEmpty();
        voters.get("b").ask();
        collect("b");
        settle();
        assertThat(voters.get("b").blank()).isFalse();
        voters.get("b").received("c", new EpochMessage.Prepare(1, new Ballot(9, "c")));
        assertThat(voters.get("b").outs()).as("the first epoch was open").isEmpty();
        voters.get("a").attempt(Layout.none(3).with(server("x")));
        collect("a");
        settle();
        assertThat(voters.get("b").agreed().epoch()).isEqualTo(1);
        voters.get("c").attempt(voters.get("c").agreed().with(server("y")));
        collect("c");
        settle();
        assertThat(voters.get("b").agreed().epoch()).as("it votes again").isEqualTo(2);
    }

    @Test
    void votersThatAllHaveNothingBeginTogether() {
        int instance = 0;
        for (String name : NAMES) {
            voters.put(name, new Voter(name, NAMES, null, 3, false, ++instance));
        }
        voters.get("a").attempt(Layout.none(3).with(server("x")));
        collect("a");
        settle();
        assertThat(voters.get("b").agreed().epoch()).as("nobody votes before it knows").isZero();
        for (int round = 0; round < 4; round++) {
            assertThat(voters.get("a").blank())
                    .as("servers that know of an epoch have the time to say so")
                    .isTrue();
            voters.get("a")
                    .received(
                            "x",
                            new EpochMessage.Agreed(
                                    new Layout(7, List.of(server("x")), List.of(), 3)));
            voters.get("a").ask();
            collect("a");
            settle();
        }
        assertThat(voters.values()).noneMatch(Voter::blank);
        assertThat(voters.get("a").agreed().epoch())
                .as("they go on from the last that anybody knew of")
                .isEqualTo(7);
        voters.get("b").received("a", new EpochMessage.Fresh(Map.of("a", 1L, "b", 77L, "c", 3L)));
        Voter again = new Voter("b", NAMES, null, 3, false, 99);
        again.received("a", new EpochMessage.Fresh(Map.of("a", 1L, "b", 2L, "c", 3L)));
        assertThat(again.blank()).as("it was another start that was told so").isTrue();
    }

    @Test
    void noEpochIsAgreedOnTwiceInDrawnSchedules() {
        for (long seed = 1; seed <= 3_000; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            voters.clear();
            underWay.clear();
            all();
            Map<Long, Layout> agreed = new TreeMap<>();
            int lostDisks = 0;
            for (int step = 0; step < 120; step++) {
                String name = List.of("a", "b", "c").get(chance.nextInt(3));
                Voter voter = voters.get(name);
                int what = chance.nextInt(12);
                if (what == 0) {
                    voter.attempt(voter.agreed().with(server(name + step)));
                } else if (what == 1) {
                    // One at a time: two that forget the same are a majority that has forgotten.
                    boolean someBlank = voters.values().stream().anyMatch(Voter::blank);
                    boolean lost = lostDisks == 0 && !someBlank && chance.nextInt(4) == 0;
                    if (lost) {
                        lostDisks++;
                    }
                    if (lost || !voter.blank()) {
                        voters.put(
                                name,
                                new Voter(
                                        name,
                                        NAMES,
                                        lost ? null : voter.promised(),
                                        3,
                                        false,
                                        step));
                    }
                } else if (what == 2) {
                    voter.ask();
                } else if (!underWay.isEmpty()) {
                    int which = chance.nextInt(underWay.size());
                    if (chance.nextInt(6) == 0) {
                        underWay.remove(which);
                    } else if (chance.nextInt(8) == 0) {
                        underWay.add(underWay.get(which));
                    } else {
                        deliver(which);
                    }
                }
                collect(name);
                for (Voter each : voters.values()) {
                    Layout known = each.agreed();
                    if (known.epoch() == 0) {
                        continue;
                    }
                    Layout other = agreed.putIfAbsent(known.epoch(), known);
                    assertThat(other == null || other.equals(known))
                            .as("seed " + seed + ": " + other + " and " + known)
                            .isTrue();
                }
            }
        }
    }

    @Test
    void rendezvousMovesOnlyWhatItMust() {
        List<Layout.Server> servers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            servers.add(new Layout.Server("s" + i, "z" + i % 3));
        }
        Layout before = new Layout(1, servers, List.of(), 3);
        Layout after = before.without("s4");
        int moved = 0;
        for (int range = 0; range < Layout.RANGES; range++) {
            Set<String> zones = new HashSet<>();
            for (String name : before.keepers(range)) {
                zones.add("z" + Integer.parseInt(name.substring(1)) % 3);
            }
            assertThat(zones).as("zones apart").hasSize(3);
            boolean same = before.keepers(range).equals(after.keepers(range));
            if (!same) {
                moved++;
            }
            assertThat(same || before.keepers(range).contains("s4")).isTrue();
            assertThat(after.formerKeepers(range)).isEqualTo(before.keepers(range));
        }
        assertThat(moved).isBetween(Layout.RANGES / 12, Layout.RANGES / 2);
    }

    @Test
    void onlyWhatHasStoodForAWhileIsWishedFor() {
        Wish wish = new Wish(Duration.ofSeconds(2), Duration.ofSeconds(60), 3);
        Layout now =
                new Layout(
                        4,
                        List.of(server("a"), server("b"), server("c"), server("d")),
                        List.of(),
                        3);
        List<Layout.Server> known =
                List.of(server("a"), server("b"), server("c"), server("d"), server("e"));
        wish.seen(Map.of("a", true, "b", true, "c", true, "d", false, "e", true), Duration.ZERO);
        assertThat(wish.next(now, known, Duration.ofSeconds(1))).isEmpty();
        assertThat(wish.next(now, known, Duration.ofSeconds(3)))
                .as("nobody has said how far it is")
                .isEmpty();
        for (String each : List.of("a", "b", "c")) {
            wish.told(each, new EpochMessage.Standing(4, 0));
        }
        Layout more = wish.next(now, known, Duration.ofSeconds(4)).orElseThrow();
        assertThat(more.has("e")).as("who comes, before who leaves").isTrue();
        assertThat(wish.next(more, known, Duration.ofSeconds(5))).as("one at a time").isEmpty();
        for (String each : List.of("a", "b", "c")) {
            wish.told(each, new EpochMessage.Standing(5, 0));
        }
        wish.told("e", new EpochMessage.Standing(5, 17));
        assertThat(wish.next(more, known, Duration.ofSeconds(10)))
                .as("what moved is not whole")
                .isEmpty();
        wish.told("e", new EpochMessage.Standing(5, 0));
        assertThat(wish.next(more, known, Duration.ofSeconds(10)).orElseThrow().has("d")).isFalse();
        wish.told("e", new EpochMessage.Standing(5, 3));
        assertThat(wish.next(more, known, Duration.ofSeconds(70)))
                .as("behind the longest window nothing missing matters")
                .isPresent();
        Wish alone = new Wish(Duration.ofSeconds(2), Duration.ofSeconds(60), 3);
        Layout three = new Layout(4, List.of(server("a"), server("b"), server("c")), List.of(), 3);
        alone.seen(Map.of("a", true, "b", false, "c", false), Duration.ZERO);
        alone.next(three, known, Duration.ZERO);
        alone.told("a", new EpochMessage.Standing(4, 0));
        assertThat(alone.next(three, List.of(), Duration.ofSeconds(60)))
                .as("they may have the only copies")
                .isEmpty();
    }

    @Test
    void aFleetOfManyHasSoManyKeepersAndNoZoneMostOfThem() {
        Wish wish = new Wish(Duration.ofSeconds(2), Duration.ofSeconds(60), 3);
        List<Layout.Server> known = new ArrayList<>();
        Map<String, Boolean> view = new TreeMap<>();
        for (int i = 0; i < 400; i++) {
            known.add(new Layout.Server("m" + i, i < 340 ? "big" : "z" + i % 2));
        }
        for (Layout.Server each : known) {
            view.put(each.name(), true);
        }
        Duration time = Duration.ZERO;
        Layout layout = Layout.none(3);
        wish.seen(view, time);
        for (int i = 0; i < 400; i++) {
            wish.next(layout, known, time); // it hears of the epoch
            time = time.plusSeconds(3);
            Layout next = wish.next(layout, known, time).orElse(null);
            if (next == null) {
                break;
            }
            layout = next;
            for (Layout.Server each : layout.servers()) {
                wish.told(each.name(), new EpochMessage.Standing(layout.epoch(), 0));
            }
        }
        assertThat(layout.servers()).hasSize(Layout.MOST);
        assertThat(layout.servers().stream().filter(each -> each.zone().equals("big")).count())
                .isBetween(40L, 70L);
        String gone = layout.servers().get(0).name();
        view.put(gone, false);
        wish.seen(view, time);
        wish.next(layout, known, time);
        layout = wish.next(layout, known, time.plusSeconds(30)).orElseThrow();
        assertThat(layout.has(gone)).as("its place is another's").isFalse();
        for (Layout.Server each : layout.servers()) {
            wish.told(each.name(), new EpochMessage.Standing(layout.epoch(), 0));
        }
        wish.next(layout, known, time.plusSeconds(30));
        assertThat(wish.next(layout, known, time.plusSeconds(40)).orElseThrow().servers())
                .hasSize(Layout.MOST);
    }
}
