package ochretiller.fleet.consensus;

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
class EpochConsensusTest {
    private static final Set<String> NAMES = Set.of("a", "b", "c");
    private final Map<String, EpochConsensus> voters = new TreeMap<>();
    private final List<Object[]> underWay = new ArrayList<>();

    private static ReplicaPlacement.ReplicaServer server(String name) {
        return new ReplicaPlacement.ReplicaServer(name, "z" + name);
    }

    private void all() {
        for (String name : NAMES) {
            voters.put(name, new EpochConsensus(name, NAMES, null, 3, true, 0));
        }
    }

    private void collect(String from) {
        for (EpochConsensus.OutboundConsensusMessage out : voters.get(from).takeOutbound()) {
            for (String to : NAMES) {
                if (!to.equals(from) && out.recipient().map(to::equals).orElse(true)) {
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
        voters.get(to).receive((String) sent[0], (ConsensusMessage) sent[2]);
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
            voters.get("a").propose(voters.get("a").committed().with(server(name)));
            collect("a");
            settle();
        }
        for (EpochConsensus each : voters.values()) {
            assertThat(each.committed().servers())
                    .extracting(ReplicaPlacement.ReplicaServer::name)
                    .containsExactly("x", "y");
        }
        assertThat(voters.get("c").committed().epoch()).isEqualTo(2);
    }

    @Test
    void whatWasAcceptedByAnyIsNotOvertaken() {
        all();
        voters.get("a").propose(ReplicaPlacement.empty(3).with(server("x")));
        collect("a");
        // b promises and accepts; c hears of nothing, and a is gone before it knows.
        for (int i = 0; i < 3; i++) {
            underWay.removeIf(sent -> sent[1].equals("c"));
            deliver(0);
        }
        assertThat(voters.get("b").durableState().acceptedPlacement()).isNotNull();
        underWay.clear();
        voters.remove("a");
        voters.get("c").propose(ReplicaPlacement.empty(3).with(server("y")));
        collect("c");
        settle();
        assertThat(voters.get("c").committed().servers())
                .extracting(ReplicaPlacement.ReplicaServer::name)
                .containsExactly("x");
    }

    @Test
    void aVoterWithoutItsDiskAbstainsFromWhatItMayHavePromised() {
        all();
        voters.get("a").propose(ReplicaPlacement.empty(3).with(server("x")));
        collect("a");
        underWay.removeIf(sent -> sent[1].equals("c"));
        deliver(0);
        underWay.clear();
        voters.put("b", new EpochConsensus("b", NAMES, null, 3, false, 0));
        voters.get("b").receive("c", new ConsensusMessage.Prepare(1, new Ballot(9, "c")));
        assertThat(voters.get("b").takeOutbound()).as("it says nothing before it knows").isEmpty();
        voters.get("b").requestRecovery();
        collect("b");
        settle();
        assertThat(voters.get("b").hasLostState()).isFalse();
        voters.get("b").receive("c", new ConsensusMessage.Prepare(1, new Ballot(9, "c")));
        assertThat(voters.get("b").takeOutbound()).as("the first epoch was open").isEmpty();
        voters.get("a").propose(ReplicaPlacement.empty(3).with(server("x")));
        collect("a");
        settle();
        assertThat(voters.get("b").committed().epoch()).isEqualTo(1);
        voters.get("c").propose(voters.get("c").committed().with(server("y")));
        collect("c");
        settle();
        assertThat(voters.get("b").committed().epoch()).as("it votes again").isEqualTo(2);
    }

    @Test
    void votersThatAllHaveNothingBeginTogether() {
        int instance = 0;
        for (String name : NAMES) {
            voters.put(name, new EpochConsensus(name, NAMES, null, 3, false, ++instance));
        }
        voters.get("a").propose(ReplicaPlacement.empty(3).with(server("x")));
        collect("a");
        settle();
        assertThat(voters.get("b").committed().epoch()).as("nobody votes before it knows").isZero();
        for (int round = 0; round < 4; round++) {
            assertThat(voters.get("a").hasLostState())
                    .as("servers that know of an epoch have the time to say so")
                    .isTrue();
            voters.get("a")
                    .receive(
                            "x",
                            new ConsensusMessage.Committed(
                                    new ReplicaPlacement(7, List.of(server("x")), List.of(), 3)));
            voters.get("a").requestRecovery();
            collect("a");
            settle();
        }
        assertThat(voters.values()).noneMatch(EpochConsensus::hasLostState);
        assertThat(voters.get("a").committed().epoch())
                .as("they go on from the last that anybody knew of")
                .isEqualTo(7);
        voters.get("b")
                .receive(
                        "a", new ConsensusMessage.AllStateLost(Map.of("a", 1L, "b", 77L, "c", 3L)));
        EpochConsensus again = new EpochConsensus("b", NAMES, null, 3, false, 99);
        again.receive("a", new ConsensusMessage.AllStateLost(Map.of("a", 1L, "b", 2L, "c", 3L)));
        assertThat(again.hasLostState()).as("it was another start that was told so").isTrue();
    }

    @Test
    void noEpochIsAgreedOnTwiceInDrawnSchedules() {
        for (long seed = 1; seed <= 3_000; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            voters.clear();
            underWay.clear();
            all();
            Map<Long, ReplicaPlacement> agreed = new TreeMap<>();
            int lostDisks = 0;
            for (int step = 0; step < 120; step++) {
                String name = List.of("a", "b", "c").get(chance.nextInt(3));
                EpochConsensus voter = voters.get(name);
                int what = chance.nextInt(12);
                if (what == 0) {
                    voter.propose(voter.committed().with(server(name + step)));
                } else if (what == 1) {
                    // One at a time: two that forget the same are a majority that has forgotten.
                    boolean someBlank =
                            voters.values().stream().anyMatch(EpochConsensus::hasLostState);
                    boolean lost = lostDisks == 0 && !someBlank && chance.nextInt(4) == 0;
                    if (lost) {
                        lostDisks++;
                    }
                    if (lost || !voter.hasLostState()) {
                        voters.put(
                                name,
                                new EpochConsensus(
                                        name,
                                        NAMES,
                                        lost ? null : voter.durableState(),
                                        3,
                                        false,
                                        step));
                    }
                } else if (what == 2) {
                    voter.requestRecovery();
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
                for (EpochConsensus each : voters.values()) {
                    ReplicaPlacement known = each.committed();
                    if (known.epoch() == 0) {
                        continue;
                    }
                    ReplicaPlacement other = agreed.putIfAbsent(known.epoch(), known);
                    assertThat(other == null || other.equals(known))
                            .as("seed " + seed + ": " + other + " and " + known)
                            .isTrue();
                }
            }
        }
    }

    @Test
    void rendezvousMovesOnlyWhatItMust() {
        List<ReplicaPlacement.ReplicaServer> servers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            servers.add(new ReplicaPlacement.ReplicaServer("s" + i, "z" + i % 3));
        }
        ReplicaPlacement before = new ReplicaPlacement(1, servers, List.of(), 3);
        ReplicaPlacement after = before.without("s4");
        int moved = 0;
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            Set<String> zones = new HashSet<>();
            for (String name : before.replicasOf(range)) {
                zones.add("z" + Integer.parseInt(name.substring(1)) % 3);
            }
            assertThat(zones).as("zones apart").hasSize(3);
            boolean same = before.replicasOf(range).equals(after.replicasOf(range));
            if (!same) {
                moved++;
            }
            assertThat(same || before.replicasOf(range).contains("s4")).isTrue();
            assertThat(after.previousReplicasOf(range)).isEqualTo(before.replicasOf(range));
        }
        assertThat(moved)
                .isBetween(ReplicaPlacement.RANGE_COUNT / 12, ReplicaPlacement.RANGE_COUNT / 2);
    }

    @Test
    void onlyWhatHasStoodForAWhileIsWishedFor() {
        PlacementPlanner wish =
                new PlacementPlanner(Duration.ofSeconds(2), Duration.ofSeconds(60), 3);
        ReplicaPlacement now =
                new ReplicaPlacement(
                        4,
                        List.of(server("a"), server("b"), server("c"), server("d")),
                        List.of(),
                        3);
        List<ReplicaPlacement.ReplicaServer> known =
                List.of(server("a"), server("b"), server("c"), server("d"), server("e"));
        wish.observe(Map.of("a", true, "b", true, "c", true, "d", false, "e", true), Duration.ZERO);
        assertThat(wish.nextPlacement(now, known, Duration.ofSeconds(1))).isEmpty();
        assertThat(wish.nextPlacement(now, known, Duration.ofSeconds(3)))
                .as("nobody has said how far it is")
                .isEmpty();
        for (String each : List.of("a", "b", "c")) {
            wish.recordProgress(each, new ConsensusMessage.ReplicaProgress(4, 0));
        }
        ReplicaPlacement more = wish.nextPlacement(now, known, Duration.ofSeconds(4)).orElseThrow();
        assertThat(more.contains("e")).as("who comes, before who leaves").isTrue();
        assertThat(wish.nextPlacement(more, known, Duration.ofSeconds(5)))
                .as("one at a time")
                .isEmpty();
        for (String each : List.of("a", "b", "c")) {
            wish.recordProgress(each, new ConsensusMessage.ReplicaProgress(5, 0));
        }
        wish.recordProgress("e", new ConsensusMessage.ReplicaProgress(5, 17));
        assertThat(wish.nextPlacement(more, known, Duration.ofSeconds(10)))
                .as("what moved is not whole")
                .isEmpty();
        wish.recordProgress("e", new ConsensusMessage.ReplicaProgress(5, 0));
        assertThat(
                        wish.nextPlacement(more, known, Duration.ofSeconds(10))
                                .orElseThrow()
                                .contains("d"))
                .isFalse();
        wish.recordProgress("e", new ConsensusMessage.ReplicaProgress(5, 3));
        assertThat(wish.nextPlacement(more, known, Duration.ofSeconds(70)))
                .as("behind the longest window nothing missing matters")
                .isPresent();
        PlacementPlanner alone =
                new PlacementPlanner(Duration.ofSeconds(2), Duration.ofSeconds(60), 3);
        ReplicaPlacement three =
                new ReplicaPlacement(
                        4, List.of(server("a"), server("b"), server("c")), List.of(), 3);
        alone.observe(Map.of("a", true, "b", false, "c", false), Duration.ZERO);
        alone.nextPlacement(three, known, Duration.ZERO);
        alone.recordProgress("a", new ConsensusMessage.ReplicaProgress(4, 0));
        assertThat(alone.nextPlacement(three, List.of(), Duration.ofSeconds(60)))
                .as("they may have the only copies")
                .isEmpty();
    }

    @Test
    void aFleetOfManyHasSoManyKeepersAndNoZoneMostOfThem() {
        PlacementPlanner wish =
                new PlacementPlanner(Duration.ofSeconds(2), Duration.ofSeconds(60), 3);
        List<ReplicaPlacement.ReplicaServer> known = new ArrayList<>();
        Map<String, Boolean> view = new TreeMap<>();
        for (int i = 0; i < 400; i++) {
            known.add(new ReplicaPlacement.ReplicaServer("m" + i, i < 340 ? "big" : "z" + i % 2));
        }
        for (ReplicaPlacement.ReplicaServer each : known) {
            view.put(each.name(), true);
        }
        Duration time = Duration.ZERO;
        ReplicaPlacement layout = ReplicaPlacement.empty(3);
        wish.observe(view, time);
        for (int i = 0; i < 400; i++) {
            wish.nextPlacement(layout, known, time); // it hears of the epoch
            time = time.plusSeconds(3);
            ReplicaPlacement next = wish.nextPlacement(layout, known, time).orElse(null);
            if (next == null) {
                break;
            }
            layout = next;
            for (ReplicaPlacement.ReplicaServer each : layout.servers()) {
                wish.recordProgress(
                        each.name(), new ConsensusMessage.ReplicaProgress(layout.epoch(), 0));
            }
        }
        assertThat(layout.servers()).hasSize(ReplicaPlacement.MAX_SERVERS);
        assertThat(layout.servers().stream().filter(each -> each.zone().equals("big")).count())
                .isBetween(40L, 70L);
        String gone = layout.servers().get(0).name();
        view.put(gone, false);
        wish.observe(view, time);
        wish.nextPlacement(layout, known, time);
        layout = wish.nextPlacement(layout, known, time.plusSeconds(30)).orElseThrow();
        assertThat(layout.contains(gone)).as("its place is another's").isFalse();
        for (ReplicaPlacement.ReplicaServer each : layout.servers()) {
            wish.recordProgress(
                    each.name(), new ConsensusMessage.ReplicaProgress(layout.epoch(), 0));
        }
        wish.nextPlacement(layout, known, time.plusSeconds(30));
        assertThat(wish.nextPlacement(layout, known, time.plusSeconds(40)).orElseThrow().servers())
                .hasSize(ReplicaPlacement.MAX_SERVERS);
    }
}
