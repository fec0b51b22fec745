package ochretiller.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The append path on disk: a sequence of segments, of which only the newest, the active one,
 * accepts records. Creates, seals, abandons and deletes segments, and adds durable records to the
 * index. Not thread-safe; confined to the thread that owns the {@link Index}.
 *
 * <p>After a failed write or force the active segment is abandoned: it is never written, forced or
 * sealed again, since after a failed {@code fsync} it is unknown which pages are on the medium. The
 * next segment's header records this.
 */
final class SegmentedLog {
    private static final int INITIAL_GROUP_BUFFER_BYTES = 64 * 1024;
    private static final int GROUP_BUFFER_BYTES = 1 << 20;

    private final StorageDirectory directory;
    private final StoreClock clock;
    private final Index index;
    private final StoreCounters counters;
    private final NavigableMap<Long, Segment> segments = new TreeMap<>();
    private ByteBuffer groupBuffer = ByteBuffer.allocate(INITIAL_GROUP_BUFFER_BYTES);
    private long lastSequence;
    private long lastSegmentNumber;
    private long lastForceNanos;
    private Optional<ActiveSegment> active = Optional.empty();
    private Optional<UnsealedSegment> unsealed = Optional.empty();

    /** The segment that accepts records. */
    private record ActiveSegment(Segment segment, StorageFile file) {}

    /**
     * The newest segment, if it is neither active nor sealed.
     *
     * @param validEnd end of its last complete record, in bytes from the start of the file; empty
     *     if the disk failed, so that the contents of the medium are unknown
     */
    private record UnsealedSegment(Segment segment, OptionalLong validEnd) {
        UnsealedSegment asAbandoned() {
            return new UnsealedSegment(segment, OptionalLong.empty());
        }
    }

    /** Creates the log from what was recovered; it accepts records after {@link #startSegment}. */
    SegmentedLog(
            StorageDirectory directory,
            StoreClock clock,
            Recovery recovery,
            StoreCounters counters) {
        this.directory = directory;
        this.clock = clock;
        this.index = recovery.index();
        this.counters = counters;
        this.lastSequence = recovery.lastSequence();
        this.lastSegmentNumber = recovery.lastSegmentNumber();
        recovery.segments().forEach(each -> segments.put(each.segment().number(), each.segment()));
        unsealed =
                recovery.lastSegment()
                        .filter(last -> !last.segment().isSealed() && !last.segment().isDamaged())
                        .map(
                                last ->
                                        new UnsealedSegment(
                                                last.segment(), OptionalLong.of(last.validEnd())));
    }

    /** All segments, oldest first. */
    Collection<Segment> segments() {
        return segments.values();
    }

    /** Returns the existing segment with the next lower number; empty if there is none. */
    Optional<Segment> previousSegment(Segment segment) {
        return Optional.ofNullable(segments.lowerEntry(segment.number()))
                .map(entry -> entry.getValue());
    }

    /** Returns whether the segment is active or has yet to be sealed. */
    boolean isInUse(Segment segment) {
        return active.filter(each -> each.segment() == segment).isPresent()
                || unsealed.filter(each -> each.segment() == segment).isPresent();
    }

    /** Duration of the last successful write and force of a group, in nanoseconds. */
    long lastForceNanos() {
        return lastForceNanos;
    }

    /**
     * Appends the records of one group with one write and one force, and indexes them.
     *
     * @throws IOException if the disk fails; any part of the group may then be on the medium
     */
    void append(List<AppendRequest> group) throws IOException {
        ActiveSegment target = active.orElseThrow();
        Segment segment = target.segment();
        long firstSequence = lastSequence + 1;
        int bytes = encode(group);
        long startNanos = System.nanoTime();
        target.file().write(groupBuffer.flip(), segment.sizeBytes());
        target.file().force();
        lastForceNanos = System.nanoTime() - startNanos;
        counters.countForce();
        counters.countGroupCommit(group.size(), bytes);
        long sequence = firstSequence;
        int offset = (int) segment.sizeBytes();
        for (AppendRequest request : group) {
            index.put(
                    new IndexEntry(
                            request.key(),
                            request.metadata(),
                            request.attributes(sequence),
                            segment,
                            offset));
            sequence++;
            offset += request.recordBytes();
        }
        segment.countAppendedRecords(group.size(), bytes);
    }

    private int encode(List<AppendRequest> group) {
        int bytes = group.stream().mapToInt(AppendRequest::recordBytes).sum();
        if (groupBuffer.capacity() < bytes) {
            groupBuffer = ByteBuffer.allocate(Math.max(bytes, GROUP_BUFFER_BYTES));
        }
        groupBuffer.clear();
        for (AppendRequest request : group) {
            lastSequence++;
            RecordFormat.encode(groupBuffer, lastSequence, request);
        }
        return bytes;
    }

    /**
     * Seals the previous segment if possible, and creates the next one; both are on stable storage
     * when this returns.
     */
    void startSegment() throws IOException {
        boolean followsAbandoned = unsealed.isPresent() && unsealed.get().validEnd().isEmpty();
        if (unsealed.isPresent() && !followsAbandoned) {
            sealRecovered(unsealed.get());
        }
        long nowMillis = clock.nowMillis();
        Segment next = new Segment(lastSegmentNumber + 1, nowMillis, followsAbandoned);
        SegmentHeader header =
                new SegmentHeader(
                        next.number(),
                        lastSequence + 1,
                        followsAbandoned,
                        clock.bootId(),
                        clock.offsetMillis(),
                        nowMillis);
        StorageFile file = createSegmentFile(next, header);
        counters.countForce();
        unsealed = Optional.empty();
        lastSegmentNumber = next.number();
        segments.put(next.number(), next);
        active = Optional.of(new ActiveSegment(next, file));
    }

    private StorageFile createSegmentFile(Segment segment, SegmentHeader header)
            throws IOException {
        // A failed attempt may have left an incomplete file, which contains no record.
        directory.delete(segment.fileName());
        StorageFile file = directory.create(segment.fileName());
        try {
            file.write(header.encode(), 0);
            file.force();
            directory.forceDirectory();
            return file;
        } catch (IOException e) {
            closeQuietly(file);
            throw e;
        }
    }

    /** Seals the segment that a previous process left unsealed. */
    private void sealRecovered(UnsealedSegment recovered) throws IOException {
        Segment segment = recovered.segment();
        try (StorageFile file = directory.open(segment.fileName())) {
            // Removes a torn write, which would look like damage if a seal followed it.
            long validEnd = recovered.validEnd().orElseThrow();
            file.truncate(validEnd);
            segment.setSizeBytes(validEnd);
            writeSeal(file, segment);
        } catch (IOException e) {
            // One unusable file must not prevent the store from starting a new segment.
            unsealed = Optional.of(recovered.asAbandoned());
            throw e;
        }
        writeHint(segment);
        unsealed = Optional.empty();
    }

    private void writeSeal(StorageFile file, Segment segment) throws IOException {
        lastSequence++;
        file.write(
                RecordFormat.encodeSeal(lastSequence, segment.recordCount()), segment.sizeBytes());
        file.force();
        segment.markSealed();
    }

    /**
     * Writes the hint of a sealed segment. If that fails, the next start reads the segment itself.
     */
    void writeHint(Segment segment) {
        try {
            HintFile.write(directory, segment, lastSequence);
        } catch (IOException e) {
            counters.countDiskFailure();
        }
    }

    /** Starts a new segment if the active one has reached its maximum size or age. */
    void rollIfDue(StoreLimits limits, long nowMillis) throws IOException {
        ActiveSegment current = active.orElseThrow();
        Segment segment = current.segment();
        boolean isFull = segment.sizeBytes() >= limits.segmentBytes();
        boolean isOld =
                segment.recordCount() > 0
                        && nowMillis - segment.createdAtMillis()
                                >= limits.maxSegmentAge().toMillis();
        if (!isFull && !isOld) {
            return;
        }
        writeSeal(current.file(), segment);
        counters.countForce();
        current.file().close();
        startSegment();
        writeHint(segment);
    }

    /** Abandons the active segment, if there is one, after a disk failure. */
    void abandonActive() {
        active.ifPresent(
                each -> {
                    unsealed =
                            Optional.of(new UnsealedSegment(each.segment(), OptionalLong.empty()));
                    closeQuietly(each.file());
                });
        active = Optional.empty();
    }

    /** Seals the active segment, if there is one, and writes its hint. */
    void sealActive() throws IOException {
        if (active.isPresent()) {
            writeSeal(active.get().file(), active.get().segment());
            writeHint(active.get().segment());
        }
    }

    /** Closes the active segment's file; nothing may be appended afterwards. */
    void close() {
        active.ifPresent(each -> closeQuietly(each.file()));
    }

    /** Deletes segments, none of which may be in use, and removes their entries from the index. */
    void delete(List<Segment> expired) throws IOException {
        for (Segment segment : expired) {
            directory.delete(segment.fileName());
            directory.delete(segment.hintFileName());
            index.removeAll(segment.liveEntries());
            segments.remove(segment.number());
            counters.countExpiredSegment();
        }
        if (!expired.isEmpty()) {
            // An old record must not reappear after the newer records of its key are gone.
            directory.forceDirectory();
        }
    }

    private static void closeQuietly(StorageFile file) {
        try {
            file.close();
        } catch (IOException e) {
            // The file is no longer used, and acknowledged records were forced before.
        }
    }
}
