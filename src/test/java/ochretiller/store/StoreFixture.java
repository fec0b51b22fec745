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

/**
 * A store in a directory of the tests, asked one thing at a time, with a clock that is set by hand.
 */
final class StoreFixture implements AutoCloseable {
    static final UUID BOOT_ID = new UUID(1, 2);
    static final long LIFE_MILLIS = 1_000_000;

    /**
     * Small segments, so that few records roll them; a segment that is 0.4 dead is worth
     * compacting.
     */
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

    /** Those of {@link #SMALL_SEGMENTS}, to be changed. */
    static StoreLimits.Builder limits() {
        return StoreLimits.builder()
                .maxEntries(1000)
                .maxBytes(1 << 20)
                .maxIndexBytes(1 << 20)
                .segmentBytes(600)
                .maxSegmentAge(Duration.ofDays(1))
                .compactionBytesPerSecond(1 << 30)
                .compactionDeadRatio(0.4)
                .compactionMinRemainingLife(Duration.ZERO)
                .maxRecordLife(Duration.ofMillis(LIFE_MILLIS));
    }

    StoreFixture start() {
        store.start();
        return this;
    }

    static <T> T await(CompletableFuture<T> result) {
        try {
            return result.get(10, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("no answer of the store", e);
        }
    }

    CompletableFuture<AppendResult> startPut(String key, String value, long lifeMillis) {
        CompletableFuture<AppendResult> result = new CompletableFuture<>();
        byte[] metadata = ("meta of " + value).getBytes();
        store.putNew(
                key.getBytes(),
                metadata,
                value.getBytes(),
                store.nowMillis() + lifeMillis,
                result::complete);
        return result;
    }

    AppendResult put(String key, String value, long lifeMillis) {
        return await(startPut(key, value, lifeMillis));
    }

    AppendResult put(String key, String value) {
        return put(key, value, LIFE_MILLIS);
    }

    AppendResult remove(String key) {
        CompletableFuture<AppendResult> result = new CompletableFuture<>();
        store.remove(key.getBytes(), store.nowMillis() + LIFE_MILLIS, result::complete);
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

    /** Returns once what is done between two groups has been done. */
    StoreFixture awaitMaintenance() {
        for (int i = 0; i < 3; i++) {
            read("nothing");
        }
        return this;
    }

    /** All that recovery has found, key by what its value was; only before {@link #start}. */
    Map<String, String> recovered() {
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
