package ochretiller.fleet.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Acceptors that agree, with messages in any order, lost and duplicated, and acceptors that come
 * back with and without their disks.
 */
class EpochConsensusTest {
    private static final List<String> IN_ORDER = List.of("a", "b", "c");
    private static final Set<String> NAMES = Set.copyOf(IN_ORDER);
    private static final int FACTOR = 3;

    private final Map<String, EpochConsensus> acceptors = new TreeMap<>();
    private final List<InFlight> inFlight = new ArrayList<>();

    private record InFlight(String from, String to, ConsensusMessage message) {}

    private static ReplicaServer server(String name) {
        return new ReplicaServer(name, "z" + name);
    }

    private static ReplicaPlacement firstEpochOf(String name) {
        return ReplicaPlacement.empty(FACTOR).with(server(name));
    }

    private void startAllFresh() {
        for (String name : IN_ORDER) {
            acceptors.put(name, EpochConsensus.startFresh(name, NAMES, FACTOR, 0));
        }
    }

    private void collect(String from) {
        for (OutboundConsensusMessage each : acceptors.get(from).takeOutbound()) {
            for (String to : IN_ORDER) {
                if (!to.equals(from) && each.recipient().map(to::equals).orElse(true)) {
                    inFlight.add(new InFlight(from, to, each.message()));
                }
            }
        }
    }

    private void deliver(int index) {
        InFlight sent = inFlight.remove(index);
        if (acceptors.containsKey(sent.to())) {
            acceptors.get(sent.to()).receive(sent.from(), sent.message());
            collect(sent.to());
        }
    }

    private void deliverAll() {
        while (!inFlight.isEmpty()) {
            deliver(0);
        }
    }

    private void dropAllTo(String name) {
        inFlight.removeIf(sent -> sent.to().equals(name));
    }

    private void proposeAndDeliverAll(String proposer, ReplicaPlacement placement) {
        acceptors.get(proposer).propose(placement);
        collect(proposer);
        deliverAll();
    }

    private ReplicaPlacement committedBy(String name) {
        return acceptors.get(name).committed();
    }

    private static List<String> names(ReplicaPlacement placement) {
        return placement.servers().stream().map(ReplicaServer::name).toList();
    }

    @Test
    void epochsAreCommittedOneAfterTheOther() {
        startAllFresh();

        for (String name : List.of("x", "y")) {
            proposeAndDeliverAll("a", committedBy("a").with(server(name)));
        }

        for (EpochConsensus acceptor : acceptors.values()) {
            assertThat(names(acceptor.committed())).containsExactly("x", "y");
        }
        assertThat(committedBy("c").epoch()).isEqualTo(2);
    }

    @Test
    void placementAcceptedByAMajorityIsCarriedThroughByTheNextProposer() {
        startAllFresh();
        acceptors.get("a").propose(firstEpochOf("x"));
        collect("a");
        // b promises and accepts; c receives nothing, and a is gone before it learns that.
        for (int i = 0; i < 3; i++) {
            dropAllTo("c");
            deliver(0);
        }
        assertThat(acceptors.get("b").durableState().acceptedPlacement()).isPresent();
        inFlight.clear();
        acceptors.remove("a");

        proposeAndDeliverAll("c", firstEpochOf("y"));

        assertThat(names(committedBy("c"))).containsExactly("x");
    }

    @Test
    void acceptorWithoutItsDiskAbstainsFromWhatItMayHavePromised() {
        startAllFresh();
        acceptors.get("a").propose(firstEpochOf("x"));
        collect("a");
        dropAllTo("c");
        deliver(0);
        inFlight.clear();
        EpochConsensus recovered = EpochConsensus.recover("b", NAMES, FACTOR, 0);
        acceptors.put("b", recovered);

        recovered.receive("c", new ConsensusMessage.Prepare(1, new Ballot(9, "c")));
        assertThat(recovered.takeOutbound()).as("before it knows what was open").isEmpty();

        recovered.requestRecovery();
        collect("b");
        deliverAll();
        assertThat(recovered.hasLostState()).isFalse();
        recovered.receive("c", new ConsensusMessage.Prepare(1, new Ballot(9, "c")));
        assertThat(recovered.takeOutbound()).as("the first epoch was open").isEmpty();

        proposeAndDeliverAll("a", firstEpochOf("x"));
        assertThat(recovered.committed().epoch()).isEqualTo(1);
        proposeAndDeliverAll("c", committedBy("c").with(server("y")));
        assertThat(recovered.committed().epoch()).as("it votes again").isEqualTo(2);
    }

    @Test
    void acceptorsThatHaveAllLostTheirStatesResumeTogether() {
        int instanceId = 0;
        for (String name : IN_ORDER) {
            instanceId++;
            acceptors.put(name, EpochConsensus.recover(name, NAMES, FACTOR, instanceId));
        }
        proposeAndDeliverAll("a", firstEpochOf("x"));
        assertThat(committedBy("b").epoch()).as("nobody votes before it knows").isZero();

        ReplicaPlacement knownElsewhere =
                new ReplicaPlacement(7, List.of(server("x")), List.of(), FACTOR);
        for (int round = 0; round < 4; round++) {
            assertThat(acceptors.get("a").hasLostState())
                    .as("servers that know of an epoch have the time to tell")
                    .isTrue();
            acceptors.get("a").receive("x", new ConsensusMessage.Committed(knownElsewhere));
            acceptors.get("a").requestRecovery();
            collect("a");
            deliverAll();
        }

        assertThat(acceptors.values()).noneMatch(EpochConsensus::hasLostState);
        assertThat(committedBy("a").epoch())
                .as("they go on from the latest that anybody knew of")
                .isEqualTo(7);
        acceptors
                .get("b")
                .receive(
                        "a", new ConsensusMessage.AllStateLost(Map.of("a", 1L, "b", 77L, "c", 3L)));
        assertThat(acceptors.get("b").hasLostState()).isFalse();
    }

    @Test
    void acceptorDoesNotResumeByWhatWasToldToAnEarlierStart() {
        EpochConsensus restarted = EpochConsensus.recover("b", NAMES, FACTOR, 99);

        restarted.receive(
                "a", new ConsensusMessage.AllStateLost(Map.of("a", 1L, "b", 2L, "c", 3L)));

        assertThat(restarted.hasLostState()).isTrue();
    }

    @Test
    void noEpochIsCommittedTwiceInRandomSchedules() {
        for (long seed = 1; seed <= 3_000; seed++) {
            acceptors.clear();
            inFlight.clear();
            startAllFresh();
            new RandomSchedule(seed).play();
        }
    }

    /** A schedule drawn by its seed; the order of draws decides what it covers. */
    private final class RandomSchedule {
        private static final int STEPS = 120;

        private final long seed;
        private final SplittableRandom random;
        private final Map<Long, ReplicaPlacement> committedByEpoch = new TreeMap<>();
        private boolean diskWasLost;

        RandomSchedule(long seed) {
            this.seed = seed;
            this.random = new SplittableRandom(seed);
        }

        void play() {
            for (int step = 0; step < STEPS; step++) {
                String name = IN_ORDER.get(random.nextInt(IN_ORDER.size()));
                act(name, step);
                collect(name);
                checkThatCommittedPlacementsAgree();
            }
        }

        private void act(String name, int step) {
            EpochConsensus acceptor = acceptors.get(name);
            int action = random.nextInt(12);
            if (action == 0) {
                acceptor.propose(acceptor.committed().with(server(name + step)));
            } else if (action == 1) {
                restart(name, step);
            } else if (action == 2) {
                acceptor.requestRecovery();
            } else if (!inFlight.isEmpty()) {
                dropDuplicateOrDeliver(random.nextInt(inFlight.size()));
            }
        }

        /** One disk at most is lost: two that forget the same are a majority that has forgotten. */
        private void restart(String name, int step) {
            EpochConsensus acceptor = acceptors.get(name);
            boolean anyLost = acceptors.values().stream().anyMatch(EpochConsensus::hasLostState);
            boolean losesDisk = !diskWasLost && !anyLost && random.nextInt(4) == 0;
            if (losesDisk) {
                diskWasLost = true;
                acceptors.put(name, EpochConsensus.recover(name, NAMES, FACTOR, step));
            } else if (!acceptor.hasLostState()) {
                AcceptorState state = acceptor.durableState();
                acceptors.put(name, EpochConsensus.resume(name, NAMES, state, step));
            }
        }

        private void dropDuplicateOrDeliver(int index) {
            if (random.nextInt(6) == 0) {
                inFlight.remove(index);
            } else if (random.nextInt(8) == 0) {
                inFlight.add(inFlight.get(index));
            } else {
                deliver(index);
            }
        }

        private void checkThatCommittedPlacementsAgree() {
            for (EpochConsensus acceptor : acceptors.values()) {
                ReplicaPlacement committed = acceptor.committed();
                if (committed.epoch() > 0) {
                    ReplicaPlacement first =
                            committedByEpoch.computeIfAbsent(committed.epoch(), epoch -> committed);
                    assertThat(committed).as("seed %d", seed).isEqualTo(first);
                }
            }
        }
    }
}
