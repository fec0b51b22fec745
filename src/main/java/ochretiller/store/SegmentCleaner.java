package ochretiller.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Frees disk space between two group commits: deletes segments whose records have all expired, and
 * compacts those with many dead bytes. Not thread-safe; confined to the thread that owns the {@link
 * Index}.
 */
final class SegmentCleaner {
    /** Time between two searches for segments to delete or compact, in milliseconds. */
    static final long SWEEP_INTERVAL_MILLIS = 200;

    private final StorageDirectory directory;
    private final StoreLimits limits;
    private final SegmentedLog log;
    private final Index index;
    private final StoreCounters counters;
    private Optional<Compaction> compaction = Optional.empty();
    private long lastSweepMillis;

    SegmentCleaner(
            StorageDirectory directory,
            StoreLimits limits,
            SegmentedLog log,
            Index index,
            StoreCounters counters) {
        this.directory = directory;
        this.limits = limits;
        this.log = log;
        this.index = index;
        this.counters = counters;
    }

    boolean isCompacting() {
        return compaction.isPresent();
    }

    /** Performs the work that is due: a search for expired segments, one step of a compaction. */
    void clean(long nowMillis) throws IOException {
        if (nowMillis - lastSweepMillis >= SWEEP_INTERVAL_MILLIS) {
            lastSweepMillis = nowMillis;
            deleteExpired(nowMillis);
            if (compaction.isEmpty()) {
                List<Segment> candidates =
                        log.segments().stream().filter(segment -> !log.isInUse(segment)).toList();
                compaction = Compaction.forBestCandidate(candidates, limits, nowMillis);
            }
        }
        if (compaction.isPresent() && compaction.get().step(directory, nowMillis)) {
            finish(compaction.get());
            compaction = Optional.empty();
        }
    }

    private void finish(Compaction completed) throws IOException {
        counters.countCompactedBytes(completed.finish(directory, index));
        log.writeHint(completed.segment());
    }

    /** Deletes each segment whose records have all expired. */
    void deleteExpired(long nowMillis) throws IOException {
        List<Segment> expired = new ArrayList<>();
        for (Segment segment : log.segments()) {
            // Its header marks the previous segment as abandoned; without it that segment would
            // look damaged.
            boolean isNeeded =
                    segment.followsAbandoned()
                            && log.previousSegment(segment)
                                    .filter(previous -> !expired.contains(previous))
                                    .isPresent();
            if (!log.isInUse(segment) && segment.isExpired(nowMillis) && !isNeeded) {
                expired.add(segment);
            }
        }
        if (compaction.filter(each -> expired.contains(each.segment())).isPresent()) {
            abandonCompaction();
        }
        log.delete(expired);
    }

    /** Abandons the current compaction, if there is one. */
    void abandonCompaction() {
        compaction.ifPresent(each -> each.abandon(directory));
        compaction = Optional.empty();
    }

    /**
     * Compacts every sealed segment that contains dead records, without a rate limit.
     *
     * @param progress receives the name of each segment file before it is copied
     */
    void compactAll(Consumer<String> progress, StoreClock clock) throws IOException {
        for (Segment segment : List.copyOf(log.segments())) {
            boolean hasDeadRecords = segment.deadBytes() > RecordFormat.SEAL_BYTES;
            if (log.isInUse(segment)
                    || !segment.isSealed()
                    || segment.isDamaged()
                    || !hasDeadRecords) {
                continue;
            }
            progress.accept(segment.fileName());
            Compaction current =
                    new Compaction(segment, Compaction.UNLIMITED_RATE, clock.nowMillis());
            boolean isComplete = false;
            while (!isComplete) {
                isComplete = current.step(directory, clock.nowMillis());
            }
            finish(current);
        }
    }
}
