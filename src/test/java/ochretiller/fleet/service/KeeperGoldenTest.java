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
 * What a keeper has in the store, keys and values, by {@code docs/store-format.md}. Ranges are
 * pinned one at a time: several are written in an order that differs from run to run.
 */
class KeeperGoldenTest {
    private static final GoldenFile RECORDS = new GoldenFile("keeper-records");
    private static final Duration LONGEST = Duration.ofMinutes(10);
    private static final Duration NOW = Duration.ofSeconds(100);
    private static final Duration LEFT = Duration.ofSeconds(60);
    private static final String TOKEN = "a token";
    private static final ClaimId ID = new ClaimId("s", -7, 3);
    private static final byte[] RESULT = {1, 2, 3, -4};
    private static final ReplicaStorage.Place PLACE =
            new ReplicaStorage.Place(new TreeMap<>(Map.of("b", 5L, "c", 6L)), List.of(-8L, 9L));
    private static final ReplicaPlacement LAYOUT =
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
                        .maxRecordLife(LONGEST)
                        .build(),
                new BootClock(Optional.of(new UUID(1, 2)), () -> 5_000),
                Runnable::run);
    }

    private static ReplicaEntry entry() {
        ClaimId other = new ClaimId("t", 8, 1);
        return new ReplicaEntry(
                new TreeMap<>(Map.of(ID, "body", other, "b")),
                Set.of(new ClaimId("u", 1, 2)),
                new TreeMap<>(Map.of(ID, new ClaimOutcome(true, "body", "caf\u00e9"))),
                NOW.plus(LEFT));
    }

    private static ReplicaSnapshot before(Set<Integer> forgot) {
        return new ReplicaSnapshot(LAYOUT, Map.of(), Set.of(3), forgot, Set.of(7), 41, false);
    }

    private static Replica keeper(Set<Integer> forgot) {
        Replica keeper =
                Replica.recover("a", before(forgot), ReplicaLimits.ofEntries(100, LONGEST), NOW);
        keeper.restore(TOKEN, entry());
        return keeper;
    }

    private static void durable(Consumer<Consumer<Boolean>> write) throws Exception {
        CompletableFuture<Boolean> acked = new CompletableFuture<>();
        write.accept(acked::complete);
        assertThat(acked.get(10, TimeUnit.SECONDS)).isTrue();
    }

    /** Writes a place, an entry and a long result; their keys and values as the store has them. */
    @SuppressWarnings("ArrayAsKeyOfSetOrMap") // a list of pairs in order; no key is looked up
    private Map<byte[], byte[]> written(Set<Integer> forgot) throws Exception {
        Replica keeper = keeper(forgot);
        try (Store store = open()) {
            store.start();
            ReplicaStorage keeperDisk = new ReplicaStorage(store, LONGEST);
            PendingWrite place = new PendingWrite(0, 1, Optional.empty());
            PendingWrite entry = new PendingWrite(0, 2, Optional.of(TOKEN));
            durable(then -> keeperDisk.write(place, keeper, PLACE, NOW, then));
            durable(then -> keeperDisk.write(entry, keeper, PLACE, NOW, then));
            durable(then -> keeperDisk.keep(TOKEN, ID, RESULT, NOW.plus(LEFT), NOW, then));
        }
        Map<byte[], byte[]> all = new LinkedHashMap<>();
        try (Store store = open()) {
            store.forEachValue(
                    ReplicaStorage.ENTRIES, (key, value, expires) -> all.put(key, value));
            store.forEachValue(
                    ReplicaStorage.RESULTS, (key, value, expires) -> all.put(key, value));
        }
        return all;
    }

    private Map<String, byte[]> named(Set<Integer> forgot, String... names) throws Exception {
        Map<String, byte[]> named = new LinkedHashMap<>();
        List<Map.Entry<byte[], byte[]>> all = new ArrayList<>(written(forgot).entrySet());
        assertThat(all).hasSize(3);
        for (int i = 0; i < names.length; i++) {
            named.put(names[i] + "-key", all.get(i).getKey());
            named.put(names[i] + "-value", all.get(i).getValue());
        }
        return named;
    }

    private void put(Store store, String name, Duration lives) throws Exception {
        CompletableFuture<AppendResult> acked = new CompletableFuture<>();
        store.put(
                RECORDS.bytes(name + "-key"),
                new byte[0],
                RECORDS.bytes(name + "-value"),
                store.nowMillis() + lives.toMillis(),
                acked::complete);
        assertThat(acked.get(10, TimeUnit.SECONDS)).isEqualTo(AppendResult.DURABLE);
    }

    private void assertReadBack(String place, Set<Integer> forgot) throws Exception {
        try (Store store = open()) {
            store.start();
            put(store, place, LONGEST.minusMillis(1));
            put(store, "entry", LEFT);
            put(store, "result", LEFT);
        }
        Map<String, ReplicaEntry> entries = Map.of(TOKEN, entry());
        try (Store store = open()) {
            ReplicaStorage keeperDisk = new ReplicaStorage(store, LONGEST);
            assertThat(keeperDisk.read(NOW))
                    .isEqualTo(
                            new ReplicaStorage.Found(
                                    new ReplicaSnapshot(
                                            LAYOUT, entries, Set.of(3), forgot, Set.of(7), 42,
                                            true),
                                    entries,
                                    42,
                                    PLACE));
            store.start();
            CompletableFuture<byte[]> result = new CompletableFuture<>();
            keeperDisk.result(TOKEN, ID, result::complete);
            assertThat(result.get(10, TimeUnit.SECONDS)).isEqualTo(RESULT);
        }
    }

    @Test
    void aKeeperWritesItsGoldenRecords() throws Exception {
        Map<String, byte[]> written = named(Set.of(), "place", "entry", "result");
        written.putAll(new KeeperGoldenTest().named(Set.of(3), "place-that-forgot"));
        RECORDS.assertHolds(written);
    }

    @Test
    void aKeeperReadsItsGoldenRecords() throws Exception {
        assertReadBack("place", Set.of());
    }

    @Test
    void aKeeperThatForgotReadsItsGoldenRecords() throws Exception {
        assertReadBack("place-that-forgot", Set.of(3));
    }

    @Test
    void recordsOfAKeeperExpireWithTheirWindow() throws Exception {
        written(Set.of());
        Map<String, Long> expires = new TreeMap<>();
        StoreInspector.list(
                disk,
                item -> expires.put(ReplicaStorage.about(item.key()), item.expiresAtMillis()));
        assertThat(expires)
                .isEqualTo(
                        Map.of(
                                "this server's place in its fleet",
                                LONGEST.toMillis() - 1,
                                "kept for the fleet: " + TOKEN,
                                LEFT.toMillis(),
                                "a long result kept for the fleet: " + TOKEN + " " + ID,
                                LEFT.toMillis()));
    }

    @Test
    void keysOfAKeeperAreNoText() {
        assertThat(new String(RECORDS.bytes("entry-key"), StandardCharsets.UTF_8))
                .isEqualTo("\ufffd" + TOKEN);
    }
}
