package ochretiller.store;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A store on a disk of the tests, asked one thing at a time, with a clock that is set by hand. */
final class StoreFixture implements AutoCloseable {
    static final UUID BOOT = new UUID(1, 2);
    static final long LIFE = 1_000_000;

    /** Small segments, so that few records roll them; everything half dead is worth copying. */
    static final StoreLimits SMALL =
            new StoreLimits(
                    1000,
                    1 << 20,
                    1 << 20,
                    600,
                    Duration.ofDays(1),
                    1 << 30,
                    0.4,
                    Duration.ZERO,
                    Duration.ofMillis(LIFE));

    final AtomicLong clock;
    final Store store;

    StoreFixture(StorageDirectory disk, StoreLimits limits, long clock) throws IOException {
        this(disk, limits, clock, BOOT);
    }

    StoreFixture(StorageDirectory disk, StoreLimits limits, long clock, UUID boot)
            throws IOException {
        this.clock = new AtomicLong(clock);
        store = Store.open(disk, limits, new BootClock(boot, this.clock::get), Runnable::run);
    }

    StoreFixture start() {
        store.start();
        return this;
    }

    static <T> T wait(CompletableFuture<T> result) {
        try {
            return result.get(10, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("no answer of the store", e);
        }
    }

    CompletableFuture<AppendResult> putting(String key, String value, long lives) {
        CompletableFuture<AppendResult> acked = new CompletableFuture<>();
        store.put(
                key.getBytes(),
                ("meta of " + value).getBytes(),
                value.getBytes(),
                store.nowMillis() + lives,
                true,
                acked::complete);
        return acked;
    }

    AppendResult put(String key, String value, long lives) {
        return wait(putting(key, value, lives));
    }

    AppendResult put(String key, String value) {
        return put(key, value, LIFE);
    }

    AppendResult remove(String key) {
        CompletableFuture<AppendResult> acked = new CompletableFuture<>();
        store.remove(key.getBytes(), store.nowMillis() + LIFE, acked::complete);
        return wait(acked);
    }

    String read(String key) {
        CompletableFuture<String> value = new CompletableFuture<>();
        store.read(
                key.getBytes(), bytes -> value.complete(bytes == null ? null : new String(bytes)));
        return wait(value);
    }

    boolean probe() {
        CompletableFuture<Boolean> well = new CompletableFuture<>();
        store.probe(well::complete);
        return wait(well);
    }

    /** Returns once what is done between two groups has been done. */
    StoreFixture settle() {
        for (int i = 0; i < 3; i++) {
            read("nothing");
        }
        return this;
    }

    /** All that is there, by what its key holds; only before {@link #start}. */
    Map<String, String> kept() {
        Map<String, String> all = new TreeMap<>();
        for (RecoveredEntry each : store.recoveredEntries()) {
            all.put(
                    new String(each.key()),
                    new String(each.metadata()).substring("meta of ".length()));
        }
        return all;
    }

    @Override
    public void close() throws IOException {
        store.close();
    }
}
