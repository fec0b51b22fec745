package ochretiller.store;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A store in a test directory, with blocking operations and a clock that the test advances. */
final class StoreFixture implements AutoCloseable {
    static final UUID BOOT_ID = new UUID(1, 2);
    static final long LIFETIME_MILLIS = 1_000_000;

    /** Small segments, so that few records fill one; compaction starts at a dead ratio of 0.4. */
    static final StoreLimits SMALL_SEGMENTS = limits().build();

    final AtomicLong uptimeMillis;
    final Store store;

    StoreFixture(StorageDirectory directory, StoreLimits limits, long uptimeMillis)
            throws IOException {
        this(directory, limits, uptimeMillis, Optional.of(BOOT_ID));
    }

    StoreFixture(
            StorageDirectory directory,
            StoreLimits limits,
            long uptimeMillis,
            Optional<UUID> bootId)
            throws IOException {
        this.uptimeMillis = new AtomicLong(uptimeMillis);
        store =
                Store.open(
                        directory,
                        limits,
                        new BootClock(bootId, this.uptimeMillis::get),
                        Runnable::run);
    }

    /** Returns a builder that is set to {@link #SMALL_SEGMENTS}. */
    static StoreLimits.Builder limits() {
        return StoreLimits.builder()
                .maxEntries(1000)
                .maxBytes(1 << 20)
                .maxIndexBytes(1 << 20)
                .segmentBytes(600)
                .maxSegmentAge(Duration.ofDays(1))
                .compactionBytesPerSecond(1 << 30)
                .compactionDeadRatio(0.4)
                .compactionMinRemainingLifetime(Duration.ZERO)
                .maxRecordLifetime(Duration.ofMillis(LIFETIME_MILLIS));
    }

    StoreFixture start() {
        store.start();
        return this;
    }

    static <T> T await(CompletableFuture<T> result) {
        try {
            return result.get(10, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("the operation did not succeed within 10 s", e);
        }
    }

    CompletableFuture<AppendResult> startPut(String key, String value, long lifetimeMillis) {
        CompletableFuture<AppendResult> result = new CompletableFuture<>();
        byte[] metadata = ("meta of " + value).getBytes();
        store.putNew(
                key.getBytes(),
                metadata,
                value.getBytes(),
                store.nowMillis() + lifetimeMillis,
                result::complete);
        return result;
    }

    AppendResult put(String key, String value, long lifetimeMillis) {
        return await(startPut(key, value, lifetimeMillis));
    }

    AppendResult put(String key, String value) {
        return put(key, value, LIFETIME_MILLIS);
    }

    AppendResult remove(String key) {
        CompletableFuture<AppendResult> result = new CompletableFuture<>();
        store.remove(key.getBytes(), store.nowMillis() + LIFETIME_MILLIS, result::complete);
        return await(result);
    }

    Optional<String> read(String key) {
        CompletableFuture<Optional<String>> value = new CompletableFuture<>();
        store.read(key.getBytes(), bytes -> value.complete(bytes.map(String::new)));
        return await(value);
    }

    boolean probe() {
        CompletableFuture<Boolean> isHealthy = new CompletableFuture<>();
        store.probe(isHealthy::complete);
        return await(isHealthy);
    }

    /** Returns after the maintenance between two group commits has run. */
    StoreFixture awaitMaintenance() {
        for (int i = 0; i < 3; i++) {
            read("nothing");
        }
        return this;
    }

    /**
     * Returns the recovered keys and the values that their metadata records; only before {@link
     * #start}.
     */
    Map<String, String> recoveredValues() {
        Map<String, String> valuesByKey = new TreeMap<>();
        for (RecoveredEntry entry : store.recoveredEntries()) {
            String value = new String(entry.metadata()).substring("meta of ".length());
            valuesByKey.put(new String(entry.key()), value);
        }
        return valuesByKey;
    }

    @Override
    public void close() throws IOException {
        store.close();
    }
}
