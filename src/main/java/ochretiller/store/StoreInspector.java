package ochretiller.store;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A look at a store from outside. All but {@link #compact} change nothing and take no lock: they
 * read beside a server.
 */
public final class StoreInspector {
    /** For a store that is only copied: no bound is met, and nothing is thrown away early. */
    private static final StoreLimits WIDE =
            new StoreLimits(
                    Integer.MAX_VALUE,
                    Long.MAX_VALUE,
                    Long.MAX_VALUE,
                    64 << 20,
                    Duration.ofDays(1),
                    Long.MAX_VALUE,
                    0.5,
                    Duration.ZERO,
                    Duration.ofDays(36_500));

    private StoreInspector() {}

    /**
     * What every byte of a store says.
     *
     * @param tornBytes bytes at the end of the last segment that were never written to a record's
     *     end; harmless
     * @param damage what is there and no record, or missing in front of what is there, a line each
     * @param leftoverFiles halves that the next start deletes
     * @param unknownFiles files that are not the store's
     */
    public record StoreReport(
            List<SegmentReport> segments,
            int entries,
            long bytes,
            long tornBytes,
            List<String> damage,
            List<String> leftoverFiles,
            List<String> unknownFiles) {
        public boolean isUndamaged() {
            return damage.isEmpty();
        }
    }

    /** One segment. */
    public record SegmentReport(
            String name,
            long bytes,
            int records,
            long deadBytes,
            boolean sealed,
            boolean damaged) {}

    /** One key. */
    public record StoredEntry(
            byte[] key,
            byte[] metadata,
            long expiresAtMillis,
            String file,
            int offset,
            int bytes) {}

    /** Reads every record of every segment and holds its check sum against it. */
    public static StoreReport verify(StorageDirectory disk, Consumer<String> progress)
            throws IOException {
        Recovery read = Recovery.read(disk, false, progress);
        List<SegmentReport> files = new ArrayList<>();
        long unfinished = 0;
        for (Recovery.RecoveredSegment found : read.found.values()) {
            Segment segment = found.segment;
            files.add(
                    new SegmentReport(
                            segment.fileName(),
                            segment.size,
                            segment.records,
                            segment.deadBytes,
                            segment.sealed,
                            segment.damaged));
            if (!segment.damaged && !segment.sealed) {
                unfinished += segment.size - found.goodEnd;
            }
        }
        return new StoreReport(
                files,
                read.index.liveKeys(),
                files.stream().mapToLong(SegmentReport::bytes).sum(),
                unfinished,
                List.copyOf(read.damage),
                List.copyOf(read.useless),
                List.copyOf(read.foreign));
    }

    /** Tells of each key that has a value. */
    public static void list(StorageDirectory disk, Consumer<StoredEntry> with) throws IOException {
        Recovery.read(disk, true, file -> {})
                .index
                .forEach(
                        slot -> {
                            if (!slot.isPut()) {
                                return;
                            }
                            with.accept(
                                    new StoredEntry(
                                            slot.key.bytes,
                                            slot.metadata,
                                            slot.expiresAtMillis,
                                            slot.segment.fileName(),
                                            slot.offset,
                                            slot.recordBytes));
                        });
    }

    /**
     * Copies what is live of each segment and drops the rest; the store must not be in use. Returns
     * bytes before and after.
     */
    public static long[] compact(StorageDirectory disk, Consumer<String> progress)
            throws IOException {
        disk.listFiles(); // a folder that is not there is not made
        long before = verify(disk, file -> {}).bytes();
        try (Store store = Store.open(disk, WIDE, BootClock.ofKernel(), Runnable::run)) {
            if (!store.stats().isHealthy()) {
                throw new StoreException("the disk is not well: " + store.stats().fault());
            }
            store.compactAll(progress);
        }
        return new long[] {before, verify(disk, file -> {}).bytes()};
    }
}
