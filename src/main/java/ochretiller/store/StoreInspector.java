package ochretiller.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Command-line operations on a store. {@link #verify} and {@link #list} change nothing and take no
 * lock, so they may run while a server uses the store; {@link #compact} requires exclusive access.
 * Stateless; each call runs on the calling thread.
 */
public final class StoreInspector {
    private StoreInspector() {}

    /**
     * Reads every record of every segment and verifies its checksum.
     *
     * @param progress receives the name of each segment file before it is read
     */
    public static StoreReport verify(StorageDirectory directory, Consumer<String> progress)
            throws IOException {
        Recovery recovery = Recovery.read(directory, Recovery.HintPolicy.READ_EVERYTHING, progress);
        List<SegmentReport> reports = new ArrayList<>();
        long tornBytes = 0;
        for (RecoveredSegment recovered : recovery.segments()) {
            Segment segment = recovered.segment();
            reports.add(toReport(segment));
            if (!segment.isDamaged() && !segment.isSealed()) {
                tornBytes += segment.sizeBytes() - recovered.validEnd();
            }
        }
        long bytes = reports.stream().mapToLong(SegmentReport::bytes).sum();
        return new StoreReport(
                List.copyOf(reports),
                recovery.index().liveKeyCount(),
                bytes,
                tornBytes,
                recovery.damageReports(),
                recovery.leftoverFiles(),
                recovery.unknownFiles());
    }

    private static SegmentReport toReport(Segment segment) {
        return new SegmentReport(
                segment.fileName(),
                segment.sizeBytes(),
                segment.recordCount(),
                segment.deadBytes(),
                segment.isSealed(),
                segment.isDamaged());
    }

    /** Visits each key that has a value, in no particular order. */
    public static void list(StorageDirectory directory, Consumer<StoredEntry> visitor)
            throws IOException {
        Recovery recovery =
                Recovery.read(directory, Recovery.HintPolicy.USE_HINTS, segmentName -> {});
        recovery.index()
                .forEach(
                        entry -> {
                            if (entry.isPut()) {
                                visitor.accept(toStoredEntry(entry));
                            }
                        });
    }

    private static StoredEntry toStoredEntry(IndexEntry entry) {
        return new StoredEntry(
                entry.key().bytes(),
                entry.metadata(),
                entry.expiresAtMillis(),
                entry.segment().fileName(),
                entry.offset(),
                entry.recordBytes());
    }

    /**
     * Removes the dead records of each segment by copying the live ones.
     *
     * @param progress receives the name of each segment file before it is copied
     * @throws StoreException if the store is in use, does not exist, or its disk cannot be written
     */
    public static CompactionReport compact(StorageDirectory directory, Consumer<String> progress)
            throws IOException {
        directory.listFiles(); // fails if there is no store, which Store.open would create
        long bytesBefore = verify(directory, segmentName -> {}).bytes();
        StoreLimits unlimited = StoreLimits.builder().build();
        try (Store store = Store.open(directory, unlimited, BootClock.ofKernel(), Runnable::run)) {
            if (store.stats().fault().isPresent()) {
                throw new StoreException(
                        "the disk cannot be written: " + store.stats().fault().get());
            }
            store.compactAll(progress);
        }
        return new CompactionReport(bytesBefore, verify(directory, segmentName -> {}).bytes());
    }
}
