package ochretiller.fleet.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/**
 * Compares digests and sketches with golden values, since replicas of different releases exchange
 * them. An entry digest covers its claims as {@link ClaimId#toString} formats them, in claim order.
 */
class EntryDigestGoldenTest {
    private static final GoldenFile GOLDEN = new GoldenFile("entry-marks");
    private static final String TOKEN = "a token";
    private static final ClaimId FIRST = new ClaimId("s", -7, 3);
    private static final ClaimId SECOND = new ClaimId("t", 8, 1);

    private static ReplicaEntry entry(
            Map<ClaimId, String> claims,
            Set<ClaimId> released,
            Map<ClaimId, ClaimOutcome> outcomes) {
        return new ReplicaEntry(
                new TreeMap<>(claims),
                new TreeSet<>(released),
                new TreeMap<>(outcomes),
                Duration.ofSeconds(60));
    }

    private static Map<String, ReplicaEntry> entries() {
        ClaimOutcome outcome = new ClaimOutcome(true, "body", "caf\u00e9");
        Map<String, ReplicaEntry> all = new LinkedHashMap<>();
        all.put("claimed", entry(Map.of(FIRST, "body"), Set.of(), Map.of()));
        all.put("claimed-twice", entry(Map.of(FIRST, "body", SECOND, "b"), Set.of(), Map.of()));
        all.put("released", entry(Map.of(FIRST, "body"), Set.of(FIRST, SECOND), Map.of()));
        all.put("ended", entry(Map.of(FIRST, "body"), Set.of(), Map.of(FIRST, outcome)));
        all.put(
                "ended-elsewhere",
                entry(
                        Map.of(FIRST, "body"),
                        Set.of(),
                        Map.of(
                                FIRST,
                                ClaimOutcome.chunked("body", "r".repeat(9_000))
                                        .withResultPresent(false))));
        return all;
    }

    private static byte[] bytes(long number) {
        return ByteBuffer.allocate(Long.BYTES).putLong(number).array();
    }

    @Test
    void digestsAndSketchesEqualTheGoldenValues() {
        Map<String, byte[]> actual = new LinkedHashMap<>();
        for (Map.Entry<String, ReplicaEntry> each : entries().entrySet()) {
            ReplicaEntries replicaEntries = new ReplicaEntries();
            replicaEntries.put(TOKEN, each.getValue(), 1);
            actual.put("mark-of-" + each.getKey(), bytes(replicaEntries.entryDigest(TOKEN)));
        }
        ReplicaEntries replicaEntries = new ReplicaEntries();
        int range = ReplicaPlacement.rangeOf(TOKEN);
        for (int i = 0; i < 1_000; i++) {
            replicaEntries.put("token " + i, entries().get("claimed"), 1);
        }
        replicaEntries.put(TOKEN, entries().get("ended"), 1);
        actual.put("digest-of-range", bytes(replicaEntries.rangeDigest(range)));
        actual.put("sketch-of-range", replicaEntries.sketch(range, 6).toBytes());
        GOLDEN.assertMatches(actual);
    }

    @Test
    void goldenSketchIsDecodedAndEncodedUnchanged() {
        byte[] bytes = GOLDEN.bytes("sketch-of-range");
        assertThat(SetSketch.fromBytes(bytes).toBytes()).isEqualTo(bytes);
    }
}
