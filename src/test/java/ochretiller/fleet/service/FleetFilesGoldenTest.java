package ochretiller.fleet.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import ochretiller.ManualEventLoop;
import ochretiller.audit.ChainHead;
import ochretiller.fleet.consensus.AcceptorState;
import ochretiller.fleet.consensus.Ballot;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.transport.PlacementCodec;
import ochretiller.golden.GoldenFile;
import ochretiller.metrics.Metrics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compares the files of acceptor state, known peers and versions with golden bytes. */
class FleetFilesGoldenTest {
    private static final GoldenFile VOTERS = new GoldenFile("voter-files");
    private static final GoldenFile PEERS = new GoldenFile("peers-files");
    private static final GoldenFile VERSIONS = new GoldenFile("version-files");
    private static final byte[] BYTES = "what to act on".getBytes(StandardCharsets.UTF_8);

    /** SHA-256 of {@link #BYTES}. */
    private static final String HASH = VersionFiles.hashOf(BYTES);

    private static final PublishedVersion VERSION =
            new PublishedVersion(3, HASH, BYTES.length, "1.2", "ann", "caf\u00e9");

    @TempDir private Path folder;

    private static ReplicaPlacement createPlacement(long epoch) {
        return new ReplicaPlacement(
                epoch,
                List.of(new ReplicaServer("a", "z1"), new ReplicaServer("b", "")),
                List.of(new ReplicaServer("b", "")),
                2,
                new RolloutState(VERSION, PublishedVersion.NONE, 2, RolloutPhase.HALTED));
    }

    private static Map<String, AcceptorState> acceptorStates() {
        Map<String, AcceptorState> states = new LinkedHashMap<>();
        states.put("nothing", AcceptorState.initial(3));
        states.put(
                "promised",
                new AcceptorState(
                        createPlacement(4), new Ballot(7, "b"), Ballot.NONE, Optional.empty(), 9));
        states.put(
                "accepted",
                new AcceptorState(
                        createPlacement(4),
                        new Ballot(7, "b"),
                        new Ballot(6, "a"),
                        Optional.of(createPlacement(5)),
                        0));
        return states;
    }

    private static List<PeerAddress> addresses() {
        return List.of(new PeerAddress("10.0.0.2", 4200), new PeerAddress("10.0.0.3", 65_535));
    }

    private static byte[] awaitFile(Path file) throws IOException, InterruptedException {
        for (int i = 0; i < 1_000 && !Files.exists(file); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return Files.readAllBytes(file);
    }

    @Test
    void acceptorStatesAreWrittenAsGoldenBytes() throws IOException {
        Map<String, byte[]> written = new LinkedHashMap<>();
        Path file = folder.resolve("voter");
        for (Map.Entry<String, AcceptorState> each : acceptorStates().entrySet()) {
            new AcceptorFile(file).write(each.getValue());
            written.put(each.getKey(), Files.readAllBytes(file));
        }
        VOTERS.assertMatches(written);
    }

    @Test
    void goldenAcceptorStatesAreReadBack() throws IOException {
        Path file = folder.resolve("voter");
        for (Map.Entry<String, AcceptorState> each : acceptorStates().entrySet()) {
            Files.write(file, VOTERS.bytes(each.getKey()));
            assertThat(new AcceptorFile(file).read()).as(each.getKey()).contains(each.getValue());
        }
    }

    @Test
    void knownPeersAreWrittenAsGoldenBytes() throws Exception {
        PeersFile peers = new PeersFile(folder.resolve("peers"));
        peers.write(addresses());
        PEERS.assertMatches(Map.of("peers", awaitFile(folder.resolve("peers"))));
        peers.close();
    }

    @Test
    void knownPeersAreReadBackFromGoldenBytes() throws IOException {
        Files.write(folder.resolve("peers"), PEERS.bytes("peers"));
        PeersFile peers = new PeersFile(folder.resolve("peers"));
        assertThat(peers.read()).isEqualTo(addresses());
        peers.close();
    }

    /** Records the versions that are activated. */
    private static final class Recorder implements VersionActivator {
        private final List<byte[]> activated = new ArrayList<>();

        @Override
        public String check(byte[] version) {
            return null;
        }

        @Override
        public String activate(byte[] version) {
            activated.add(version);
            return null;
        }

        @Override
        public ChainHead auditHead() {
            return ChainHead.EMPTY;
        }

        @Override
        public void recordEvent(RolloutEvent event, PublishedVersion version, String text) {
            // these tests do not check audit events
        }
    }

    private RolloutService createService(Recorder recorder) {
        RolloutSettings settings =
                new RolloutSettings(
                        folder,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(5),
                        true);
        return new RolloutService(
                new FleetContext(
                        new ManualEventLoop(),
                        "a",
                        new SplittableRandom(1),
                        new Metrics(),
                        (server, message) -> {},
                        List::of),
                settings,
                "1.2",
                List.of("a", "b", "c"),
                recorder);
    }

    @Test
    void versionAndItsActivationAreWrittenAsGoldenBytes() throws Exception {
        RolloutService service = createService(new Recorder());
        service.publish("ann", "caf\u00e9", "1.2", BYTES);
        Map<String, byte[]> written = new LinkedHashMap<>();
        written.put(HASH + ".version", awaitFile(folder.resolve(HASH + ".version")));
        service.adoptPlacement(
                new ReplicaPlacement(
                        1,
                        List.of(new ReplicaServer("a", "")),
                        List.of(),
                        1,
                        new RolloutState(VERSION, VERSION, 0, RolloutPhase.DONE)));
        written.put("acting", awaitFile(folder.resolve("acting")));
        VERSIONS.assertMatches(written);
        service.close();
    }

    @Test
    void goldenVersionIsActivatedAtTheStart() throws IOException {
        for (Map.Entry<String, byte[]> each : VERSIONS.all().entrySet()) {
            Files.write(folder.resolve(each.getKey()), each.getValue());
        }
        Recorder recorder = new Recorder();
        RolloutService service = createService(recorder);
        assertThat(service.activeVersion()).isEqualTo(VERSION.number());
        assertThat(recorder.activated).containsExactly(BYTES);
        service.close();
    }

    @Test
    void activeVersionIsReadBack() throws IOException {
        Files.write(folder.resolve("acting"), VERSIONS.bytes("acting"));
        ChecksummedFile file = new ChecksummedFile(folder.resolve("acting"));
        assertThat(file.<PublishedVersion>read(PlacementCodec::readVersion)).contains(VERSION);
    }
}
