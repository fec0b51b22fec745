package ochretiller.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The parts of a store that are confined to one thread: the index, the segmented log, its cleaner
 * and the state of the disk. That is the thread that opens the store until {@link Store#start}, and
 * the writer thread afterwards; only {@link #stats} may be called by any thread.
 *
 * <p>After a disk failure nothing is written until {@link #probe} has started a new segment; stored
 * values remain readable.
 */
final class StorageEngine {
    private final StorageDirectory directory;
    private final StoreLimits limits;
    private final StoreClock clock;
    private final Index index;
    private final StoreCounters counters = new StoreCounters();
    private final SegmentedLog log;
    private final SegmentCleaner cleaner;

    /** Message of the disk failure; empty while the disk works. */
    private Optional<String> fault = Optional.empty();

    private volatile StoreStats stats;

    /**
     * Continues a recovered store with a new segment. A disk that cannot be written is no error: it
     * counts as failed until a {@link #probe} succeeds.
     */
    StorageEngine(
            StorageDirectory directory, StoreLimits limits, StoreClock clock, Recovery recovery) {
        this.directory = directory;
        this.limits = limits;
        this.clock = clock;
        this.index = recovery.index();
        this.log = new SegmentedLog(directory, clock, recovery, counters);
        this.cleaner = new SegmentCleaner(directory, limits, log, index, counters);
        try {
            for (String name : recovery.leftoverFiles()) {
                directory.delete(name);
            }
            cleaner.deleteExpired(clock.nowMillis());
            log.startSegment();
        } catch (IOException e) {
            handleDiskFailure(e);
        }
        publishStats();
    }

    /** Statistics as of the last operation of the owning thread; safe to call from any thread. */
    StoreStats stats() {
        return stats;
    }

    boolean isHealthy() {
        return fault.isEmpty();
    }

    boolean isCompacting() {
        return cleaner.isCompacting();
    }

    /** Duration of the last successful group commit, in nanoseconds. */
    long lastForceNanos() {
        return log.lastForceNanos();
    }

    /** Appends a group with one write and one force; all its records share the result. */
    AppendResult append(List<AppendRequest> group) {
        AppendResult result = isHealthy() ? tryAppend(group) : AppendResult.UNAVAILABLE;
        publishStats();
        return result;
    }

    private AppendResult tryAppend(List<AppendRequest> group) {
        try {
            log.append(group);
            return AppendResult.DURABLE;
        } catch (IOException e) {
            handleDiskFailure(e);
            return AppendResult.UNKNOWN;
        }
    }

    /** Returns the value of a key; empty if it has none or it cannot be read. */
    Optional<byte[]> read(StoreKey key) {
        Optional<IndexEntry> entry = index.get(key).filter(IndexEntry::isPut);
        if (entry.isEmpty()) {
            return Optional.empty();
        }
        try (StorageFile file = directory.open(entry.get().segment().fileName())) {
            return ValueReader.read(file, entry.get());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** After a failure, tries to start a new segment. Returns whether the disk works. */
    boolean probe() {
        if (!isHealthy()) {
            try {
                log.startSegment();
                fault = Optional.empty();
            } catch (IOException e) {
                handleDiskFailure(e);
            }
        }
        publishStats();
        return isHealthy();
    }

    /**
     * Performs the maintenance that is due between two group commits: starting a segment, expiry, a
     * step of compaction.
     */
    void maintain() {
        if (!isHealthy()) {
            return;
        }
        try {
            long nowMillis = clock.nowMillis();
            log.rollIfDue(limits, nowMillis);
            cleaner.clean(nowMillis);
        } catch (IOException e) {
            handleDiskFailure(e);
        }
        publishStats();
    }

    /** Compacts every sealed segment that contains dead records, without a rate limit. */
    void compactAll(Consumer<String> progress) throws IOException {
        cleaner.compactAll(progress, clock);
        publishStats();
    }

    /**
     * Seals and closes the log, as far as the disk allows; the engine must not be used afterwards.
     */
    void seal() {
        if (isHealthy()) {
            try {
                log.sealActive();
            } catch (IOException e) {
                handleDiskFailure(e);
            }
        }
        log.close();
        cleaner.abandonCompaction();
        publishStats();
    }

    /** Keys with a value that has not expired, earliest expiry first. */
    List<RecoveredEntry> liveEntries() {
        long nowMillis = clock.nowMillis();
        List<RecoveredEntry> entries = new ArrayList<>();
        index.forEach(
                entry -> {
                    if (entry.isPut() && !entry.isExpired(nowMillis)) {
                        entries.add(
                                new RecoveredEntry(
                                        entry.key().bytes(),
                                        entry.metadata(),
                                        entry.expiresAtMillis()));
                    }
                });
        entries.sort(Comparator.comparingLong(RecoveredEntry::expiresAtMillis));
        return entries;
    }

    /** Visits the values of live keys that begin with this byte, in disk order. */
    void forEachValue(byte keyPrefix, ValueVisitor visitor) throws IOException {
        Map<Segment, List<IndexEntry>> bySegment =
                new TreeMap<>(Comparator.comparingLong(Segment::number));
        long nowMillis = clock.nowMillis();
        index.forEach(
                entry -> {
                    if (entry.key().startsWith(keyPrefix)
                            && entry.isPut()
                            && !entry.isExpired(nowMillis)) {
                        bySegment
                                .computeIfAbsent(entry.segment(), ignored -> new ArrayList<>())
                                .add(entry);
                    }
                });
        for (Map.Entry<Segment, List<IndexEntry>> each : bySegment.entrySet()) {
            each.getValue().sort(Comparator.comparingInt(IndexEntry::offset));
            try (StorageFile file = directory.open(each.getKey().fileName())) {
                for (IndexEntry entry : each.getValue()) {
                    Optional<byte[]> value = ValueReader.read(file, entry);
                    value.ifPresent(
                            bytes ->
                                    visitor.visit(
                                            entry.key().bytes(), bytes, entry.expiresAtMillis()));
                }
            }
        }
    }

    private void handleDiskFailure(IOException cause) {
        counters.countDiskFailure();
        fault =
                Optional.of(
                        Optional.ofNullable(cause.getMessage())
                                .orElse(cause.getClass().getSimpleName()));
        log.abandonActive();
        cleaner.abandonCompaction();
    }

    private void publishStats() {
        stats = StoreStats.of(index, log.segments(), counters, fault);
    }
}
