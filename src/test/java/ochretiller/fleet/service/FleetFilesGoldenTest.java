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
import ochretiller.fleet.transport.ReplicationCodec;
import ochretiller.golden.GoldenFile;
import ochretiller.metrics.Metrics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The small files of a server in a fleet: what a voter promised, whom it knew, what it acts on. */
class FleetFilesGoldenTest {
    private static final GoldenFile VOTERS = new GoldenFile("voter-files");
    private static final GoldenFile PEERS = new GoldenFile("peers-files");
    private static final GoldenFile VERSIONS = new GoldenFile("version-files");
    private static final byte[] BYTES = "what to act on".getBytes(StandardCharsets.UTF_8);

    /** SHA-256 of {@link #BYTES}. */
    private static final String HASH = RolloutService.hash(BYTES);

    private static final PublishedVersion VERSION =
            new PublishedVersion(3, HASH, BYTES.length, "1.2", "ann", "caf\u00e9");

    @TempDir private Path folder;

    private static ReplicaPlacement layout(long epoch) {
        return new ReplicaPlacement(
                epoch,
                List.of(new ReplicaServer("a", "z1"), new ReplicaServer("b", "")),
                List.of(new ReplicaServer("b", "")),
                2,
                new RolloutState(VERSION, PublishedVersion.NONE, 2, RolloutPhase.HALTED));
    }

    private static Map<String, AcceptorState> promises() {
        Map<String, AcceptorState> all = new LinkedHashMap<>();
        all.put("nothing", AcceptorState.initial(3));
        all.put(
                "promised",
                new AcceptorState(layout(4), new Ballot(7, "b"), Ballot.NONE, Optional.empty(), 9));
        all.put(
                "accepted",
                new AcceptorState(
                        layout(4),
                        new Ballot(7, "b"),
                        new Ballot(6, "a"),
                        Optional.of(layout(5)),
                        0));
        return all;
    }

    private static List<PeerAddress> addresses() {
        return List.of(new PeerAddress("10.0.0.2", 4200), new PeerAddress("10.0.0.3", 65_535));
    }

    private static byte[] awaited(Path file) throws IOException, InterruptedException {
        for (int i = 0; i < 1_000 && !Files.exists(file); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return Files.readAllBytes(file);
    }

    @Test
    void aVotersPromisesAreWrittenAsTheirGoldenBytes() throws IOException {
        Map<String, byte[]> written = new LinkedHashMap<>();
        Path file = folder.resolve("voter");
        for (Map.Entry<String, AcceptorState> each : promises().entrySet()) {
            new AcceptorFile(file).write(each.getValue());
            written.put(each.getKey(), Files.readAllBytes(file));
        }
        VOTERS.assertHolds(written);
    }

    @Test
    void aVotersGoldenPromisesAreReadBack() throws IOException {
        Path file = folder.resolve("voter");
        for (Map.Entry<String, AcceptorState> each : promises().entrySet()) {
            Files.write(file, VOTERS.bytes(each.getKey()));
            assertThat(new AcceptorFile(file).read()).as(each.getKey()).isEqualTo(each.getValue());
        }
    }

    @Test
    void whomAServerKnewIsWrittenAsItsGoldenBytes() throws Exception {
        PeersFile peers = new PeersFile(folder.resolve("peers"));
        peers.write(addresses());
        PEERS.assertHolds(Map.of("peers", awaited(folder.resolve("peers"))));
        peers.close();
    }

    @Test
    void whomAServerKnewIsReadBackFromItsGoldenBytes() throws IOException {
        Files.write(folder.resolve("peers"), PEERS.bytes("peers"));
        PeersFile peers = new PeersFile(folder.resolve("peers"));
        assertThat(peers.read()).isEqualTo(addresses());
        peers.close();
    }

    /** A server that remembers what it was to act on. */
    private static final class Recorder implements RolloutService.Acts {
        private final List<byte[]> acted = new ArrayList<>();

        @Override
        public String check(byte[] version) {
            return null;
        }

        @Override
        public String become(byte[] version) {
            acted.add(version);
            return null;
        }

        @Override
        public ChainHead audited() {
            return ChainHead.EMPTY;
        }

        @Override
        public void told(RolloutService.What what, PublishedVersion version, String text) {
            // nothing here is about what is told
        }
    }

    private RolloutService versions(Recorder recorder) {
        RolloutSettings settings =
                new RolloutSettings(
                        folder,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(5),
                        true);
        return new RolloutService(
                new ManualEventLoop(),
                settings,
                "a",
                "1.2",
                List.of("a", "b", "c"),
                new SplittableRandom(1),
                new Metrics(),
                (to, message) -> {},
                List::of,
                recorder);
    }

    @Test
    void aVersionAndThatItIsActedOnAreWrittenAsTheirGoldenBytes() throws Exception {
        RolloutService versions = versions(new Recorder());
        versions.publish("ann", "caf\u00e9", "1.2", BYTES);
        Map<String, byte[]> written = new LinkedHashMap<>();
        written.put(HASH + ".version", awaited(folder.resolve(HASH + ".version")));
        versions.become(
                new ReplicaPlacement(
                        1,
                        List.of(new ReplicaServer("a", "")),
                        List.of(),
                        1,
                        new RolloutState(VERSION, VERSION, 0, RolloutPhase.DONE)));
        written.put("acting", awaited(folder.resolve("acting")));
        VERSIONS.assertHolds(written);
        versions.close();
    }

    @Test
    void aServerActsOnItsGoldenVersionFromTheStart() throws IOException {
        for (Map.Entry<String, byte[]> each : VERSIONS.all().entrySet()) {
            Files.write(folder.resolve(each.getKey()), each.getValue());
        }
        Recorder recorder = new Recorder();
        RolloutService versions = versions(recorder);
        assertThat(versions.acting()).isEqualTo(VERSION.number());
        assertThat(recorder.acted).containsExactly(BYTES);
        versions.close();
    }

    @Test
    void theVersionThatIsActedOnIsReadBackWhole() throws IOException {
        Files.write(folder.resolve("acting"), VERSIONS.bytes("acting"));
        SealedFile file = new SealedFile(folder.resolve("acting"));
        assertThat(file.<PublishedVersion>read(ReplicationCodec::version)).isEqualTo(VERSION);
    }
}
