package ochretiller.fleet.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.PendingWrite;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicaLimits;
import ochretiller.fleet.replication.ReplicaSnapshot;
import ochretiller.golden.GoldenFile;
import ochretiller.store.AppendResult;
import ochretiller.store.BootClock;
import ochretiller.store.Store;
import ochretiller.store.StoreInspector;
import ochretiller.store.StoreLimits;
import ochretiller.store.VolatileDirectory;
import org.junit.jupiter.api.Test;

/**
 * Compares a replica's keys and values in the store, as specified in {@code docs/store-format.md},
 * with golden bytes. Range sets have one element each, since the order of several ranges differs
 * from run to run.
 */
class ReplicaRecordsGoldenTest {
    private static final GoldenFile RECORDS = new GoldenFile("keeper-records");
    private static final Duration MAX_LIFETIME = Duration.ofMinutes(10);
    private static final Duration NOW = Duration.ofSeconds(100);
    private static final Duration REMAINING_WINDOW = Duration.ofSeconds(60);
    private static final String TOKEN = "a token";
    private static final ClaimId CLAIM_ID = new ClaimId("s", -7, 3);
    private static final byte[] RESULT = {1, 2, 3, -4};
    private static final ReplicaMetadata METADATA =
            new ReplicaMetadata(new TreeMap<>(Map.of("b", 5L, "c", 6L)), List.of(-8L, 9L));
    private static final ReplicaPlacement PLACEMENT =
            new ReplicaPlacement(
                    4,
                    List.of(new ReplicaServer("a", "z1"), new ReplicaServer("b", "z2")),
                    List.of(new ReplicaServer("b", "z2")),
                    2);

    private final VolatileDirectory disk = new VolatileDirectory();

    private Store open() throws IOException {
        return Store.open(
                disk,
                StoreLimits.builder()
                        .maxEntries(100)
                        .maxBytes(1 << 20)
                        .maxRecordLifetime(MAX_LIFETIME)
                        .build(),
                new BootClock(Optional.of(new UUID(1, 2)), () -> 5_000),
                Runnable::run);
    }

    private static ReplicaEntry entry() {
        ClaimId otherClaim = new ClaimId("t", 8, 1);
        return new ReplicaEntry(
                new TreeMap<>(Map.of(CLAIM_ID, "body", otherClaim, "b")),
                Set.of(new ClaimId("u", 1, 2)),
                new TreeMap<>(Map.of(CLAIM_ID, new ClaimOutcome(true, "body", "caf\u00e9"))),
                NOW.plus(REMAINING_WINDOW));
    }

    private static ReplicaSnapshot previousSnapshot(Set<Integer> lostGrantRanges) {
        return new ReplicaSnapshot(
                PLACEMENT, Map.of(), Set.of(3), lostGrantRanges, Set.of(7), 41, false);
    }

    private static Replica createReplica(Set<Integer> lostGrantRanges) {
        Replica replica =
                Replica.recover(
                        "a",
                        previousSnapshot(lostGrantRanges),
                        ReplicaLimits.ofEntries(100, MAX_LIFETIME),
                        NOW);
        replica.restore(TOKEN, entry());
        return replica;
    }

    private static void awaitDurable(Consumer<Consumer<Boolean>> write) throws Exception {
        CompletableFuture<Boolean> acknowledged = new CompletableFuture<>();
        write.accept(acknowledged::complete);
        assertThat(acknowledged.get(10, TimeUnit.SECONDS)).isTrue();
    }

    /** Writes metadata, an entry and a chunked result; returns their keys and values. */
    @SuppressWarnings("ArrayAsKeyOfSetOrMap") // a list of pairs in order; no key is looked up
    private Map<byte[], byte[]> writeRecords(Set<Integer> lostGrantRanges) throws Exception {
        Replica replica = createReplica(lostGrantRanges);
        try (Store store = open()) {
            store.start();
            ReplicaStorage storage = new ReplicaStorage(store, MAX_LIFETIME);
            PendingWrite metadata = new PendingWrite(0, 1, Optional.empty());
            PendingWrite entry = new PendingWrite(0, 2, Optional.of(TOKEN));
            awaitDurable(completion -> storage.write(metadata, replica, METADATA, NOW, completion));
            awaitDurable(completion -> storage.write(entry, replica, METADATA, NOW, completion));
            awaitDurable(
                    completion ->
                            storage.storeResult(
                                    TOKEN,
                                    CLAIM_ID,
                                    RESULT,
                                    NOW.plus(REMAINING_WINDOW),
                                    NOW,
                                    completion));
        }
        Map<byte[], byte[]> all = new LinkedHashMap<>();
        try (Store store = open()) {
            store.forEachValue(
                    ReplicaStorage.ENTRY_KEY_PREFIX, (key, value, expires) -> all.put(key, value));
            store.forEachValue(
                    ReplicaStorage.RESULT_KEY_PREFIX, (key, value, expires) -> all.put(key, value));
        }
        return all;
    }

    private Map<String, byte[]> recordsByName(Set<Integer> lostGrantRanges, String... names)
            throws Exception {
        Map<String, byte[]> records = new LinkedHashMap<>();
        List<Map.Entry<byte[], byte[]>> all =
                new ArrayList<>(writeRecords(lostGrantRanges).entrySet());
        assertThat(all).hasSize(3);
        for (int i = 0; i < names.length; i++) {
            records.put(names[i] + "-key", all.get(i).getKey());
            records.put(names[i] + "-value", all.get(i).getValue());
        }
        return records;
    }

    private void put(Store store, String name, Duration lifetime) throws Exception {
        CompletableFuture<AppendResult> acknowledged = new CompletableFuture<>();
        store.put(
                RECORDS.bytes(name + "-key"),
                new byte[0],
                RECORDS.bytes(name + "-value"),
                store.nowMillis() + lifetime.toMillis(),
                acknowledged::complete);
        assertThat(acknowledged.get(10, TimeUnit.SECONDS)).isEqualTo(AppendResult.DURABLE);
    }

    private void assertReadBack(String metadataName, Set<Integer> lostGrantRanges)
            throws Exception {
        try (Store store = open()) {
            store.start();
            put(store, metadataName, MAX_LIFETIME.minusMillis(1));
            put(store, "entry", REMAINING_WINDOW);
            put(store, "result", REMAINING_WINDOW);
        }
        Map<String, ReplicaEntry> entries = Map.of(TOKEN, entry());
        try (Store store = open()) {
            ReplicaStorage storage = new ReplicaStorage(store, MAX_LIFETIME);
            assertThat(storage.recover(NOW))
                    .isEqualTo(
                            new RecoveredReplica(
                                    Optional.of(
                                            new ReplicaSnapshot(
                                                    PLACEMENT,
                                                    entries,
                                                    Set.of(3),
                                                    lostGrantRanges,
                                                    Set.of(7),
                                                    42,
                                                    true)),
                                    entries,
                                    42,
                                    METADATA));
            store.start();
            CompletableFuture<Optional<byte[]>> result = new CompletableFuture<>();
            storage.readResult(TOKEN, CLAIM_ID, result::complete);
            assertThat(result.get(10, TimeUnit.SECONDS).orElseThrow()).isEqualTo(RESULT);
        }
    }

    @Test
    void replicaWritesGoldenRecords() throws Exception {
        Map<String, byte[]> written = recordsByName(Set.of(), "place", "entry", "result");
        written.putAll(
                new ReplicaRecordsGoldenTest().recordsByName(Set.of(3), "place-that-forgot"));
        RECORDS.assertMatches(written);
    }

    @Test
    void replicaReadsGoldenRecords() throws Exception {
        assertReadBack("place", Set.of());
    }

    @Test
    void replicaWithLostGrantsReadsGoldenRecords() throws Exception {
        assertReadBack("place-that-forgot", Set.of(3));
    }

    @Test
    void recordsExpireWithTheirWindow() throws Exception {
        writeRecords(Set.of());
        Map<String, Long> expires = new TreeMap<>();
        StoreInspector.list(
                disk,
                item ->
                        expires.put(
                                ReplicaStorage.describeKey(item.key()).orElseThrow(),
                                item.expiresAtMillis()));
        assertThat(expires)
                .isEqualTo(
                        Map.of(
                                "this server's place in its fleet",
                                MAX_LIFETIME.toMillis() - 1,
                                "kept for the fleet: " + TOKEN,
                                REMAINING_WINDOW.toMillis(),
                                "a long result kept for the fleet: " + TOKEN + " " + CLAIM_ID,
                                REMAINING_WINDOW.toMillis()));
    }

    @Test
    void keysAreNotValidUtf8() {
        assertThat(new String(RECORDS.bytes("entry-key"), StandardCharsets.UTF_8))
                .isEqualTo("\ufffd" + TOKEN);
    }
}
