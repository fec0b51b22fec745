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
 * Consensus between acceptors while messages are reordered, lost and duplicated, and acceptors
 * restart with or without their disks.
 */
class EpochConsensusTest {
    private static final List<String> ORDERED_NAMES = List.of("a", "b", "c");
    private static final Set<String> NAMES = Set.copyOf(ORDERED_NAMES);
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
        for (String name : ORDERED_NAMES) {
            acceptors.put(name, EpochConsensus.startFresh(name, NAMES, FACTOR, 0));
        }
    }

    private void collect(String from) {
        for (OutboundConsensusMessage each : acceptors.get(from).takeOutbound()) {
            for (String to : ORDERED_NAMES) {
                if (!to.equals(from) && each.recipient().map(to::equals).orElse(true)) {
                    inFlight.add(new InFlight(from, to, each.message()));
                }
            }
        }
    }

    private void deliver(int index) {
        InFlight delivered = inFlight.remove(index);
        if (acceptors.containsKey(delivered.to())) {
            acceptors.get(delivered.to()).receive(delivered.from(), delivered.message());
            collect(delivered.to());
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
        return acceptors.get(name).committedPlacement();
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
            assertThat(names(acceptor.committedPlacement())).containsExactly("x", "y");
        }
        assertThat(committedBy("c").epoch()).isEqualTo(2);
    }

    @Test
    void placementAcceptedByAMajorityIsCompletedByTheNextProposer() {
        startAllFresh();
        acceptors.get("a").propose(firstEpochOf("x"));
        collect("a");
        // b promises and accepts, c receives nothing, and a crashes before it learns of the accept.
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
    void acceptorThatLostItsDiskAbstainsFromEpochsItMayHavePromised() {
        startAllFresh();
        acceptors.get("a").propose(firstEpochOf("x"));
        collect("a");
        dropAllTo("c");
        deliver(0);
        inFlight.clear();
        EpochConsensus recovered = EpochConsensus.recover("b", NAMES, FACTOR, 0);
        acceptors.put("b", recovered);

        recovered.receive("c", new ConsensusMessage.Prepare(1, new Ballot(9, "c")));
        assertThat(recovered.takeOutbound()).as("before it has recovered").isEmpty();

        recovered.requestRecovery();
        collect("b");
        deliverAll();
        assertThat(recovered.hasLostState()).isFalse();
        recovered.receive("c", new ConsensusMessage.Prepare(1, new Ballot(9, "c")));
        assertThat(recovered.takeOutbound()).as("it may have voted on the first epoch").isEmpty();

        proposeAndDeliverAll("a", firstEpochOf("x"));
        assertThat(recovered.committedPlacement().epoch()).isEqualTo(1);
        proposeAndDeliverAll("c", committedBy("c").with(server("y")));
        assertThat(recovered.committedPlacement().epoch()).as("it votes again").isEqualTo(2);
    }

    @Test
    void acceptorsResumeWhenAllHaveLostTheirStates() {
        int startId = 0;
        for (String name : ORDERED_NAMES) {
            startId++;
            acceptors.put(name, EpochConsensus.recover(name, NAMES, FACTOR, startId));
        }
        proposeAndDeliverAll("a", firstEpochOf("x"));
        assertThat(committedBy("b").epoch()).as("no acceptor votes before recovery").isZero();

        ReplicaPlacement committedEarlier =
                new ReplicaPlacement(7, List.of(server("x")), List.of(), FACTOR);
        for (int round = 0; round < 4; round++) {
            assertThat(acceptors.get("a").hasLostState())
                    .as("servers have time to report a committed epoch")
                    .isTrue();
            acceptors.get("a").receive("x", new ConsensusMessage.Committed(committedEarlier));
            acceptors.get("a").requestRecovery();
            collect("a");
            deliverAll();
        }

        assertThat(acceptors.values()).noneMatch(EpochConsensus::hasLostState);
        assertThat(committedBy("a").epoch())
                .as("they continue from the latest epoch reported by any server")
                .isEqualTo(7);
        acceptors
                .get("b")
                .receive(
                        "a", new ConsensusMessage.AllStateLost(Map.of("a", 1L, "b", 77L, "c", 3L)));
        assertThat(acceptors.get("b").hasLostState()).isFalse();
    }

    @Test
    void acceptorIgnoresAllStateLostMessageForAnEarlierStart() {
        EpochConsensus restarted = EpochConsensus.recover("b", NAMES, FACTOR, 99);

        restarted.receive(
                "a", new ConsensusMessage.AllStateLost(Map.of("a", 1L, "b", 2L, "c", 3L)));

        assertThat(restarted.hasLostState()).isTrue();
    }

    @Test
    void randomSchedulesCommitOnePlacementPerEpoch() {
        for (long seed = 1; seed <= 3_000; seed++) {
            acceptors.clear();
            inFlight.clear();
            startAllFresh();
            new RandomSchedule(seed).run();
        }
    }

    /** A schedule determined by its seed; the order of random calls must not change. */
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

        void run() {
            for (int step = 0; step < STEPS; step++) {
                String name = ORDERED_NAMES.get(random.nextInt(ORDERED_NAMES.size()));
                act(name, step);
                collect(name);
                checkThatCommittedPlacementsAgree();
            }
        }

        private void act(String name, int step) {
            EpochConsensus acceptor = acceptors.get(name);
            int action = random.nextInt(12);
            if (action == 0) {
                acceptor.propose(acceptor.committedPlacement().with(server(name + step)));
            } else if (action == 1) {
                restart(name, step);
            } else if (action == 2) {
                acceptor.requestRecovery();
            } else if (!inFlight.isEmpty()) {
                dropDuplicateOrDeliver(random.nextInt(inFlight.size()));
            }
        }

        /** At most one disk is lost: two acceptors without their promises would be a majority. */
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
                ReplicaPlacement committed = acceptor.committedPlacement();
                if (committed.epoch() > 0) {
                    ReplicaPlacement first =
                            committedByEpoch.computeIfAbsent(committed.epoch(), epoch -> committed);
                    assertThat(committed).as("seed %d", seed).isEqualTo(first);
                }
            }
        }
    }
}
