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
 * The append path on disk: a sequence of segments of which the newest, the active one, takes
 * records. It begins, seals, abandons and continues segments, and puts what is durable into the
 * index. Not safe for several threads; owned with the {@link Index}.
 *
 * <p>After a failed write or force the active segment is abandoned: it is never written, forced or
 * sealed again, since a failed {@code fsync} proves nothing about its pages. The next segment's
 * header tells so.
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

    /** The segment that takes records. */
    private record ActiveSegment(Segment segment, StorageFile file) {}

    /**
     * The newest segment where it is not active and has no seal.
     *
     * @param validEnd where its last whole record ends; empty where the disk failed, so that nobody
     *     knows what is on the medium
     */
    private record UnsealedSegment(Segment segment, OptionalLong validEnd) {
        UnsealedSegment abandoned() {
            return new UnsealedSegment(segment, OptionalLong.empty());
        }
    }

    /** The log as it was recovered; {@link #startSegment} makes it take records. */
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

    /** The segment that was created before this one, as far as it is still there. */
    Optional<Segment> before(Segment segment) {
        return Optional.ofNullable(segments.lowerEntry(segment.number()))
                .map(entry -> entry.getValue());
    }

    /** Whether the segment is active, or is still to be sealed. */
    boolean isInUse(Segment segment) {
        return active.filter(each -> each.segment() == segment).isPresent()
                || unsealed.filter(each -> each.segment() == segment).isPresent();
    }

    /** Duration of the last successful write and force of a group, nanoseconds. */
    long lastForceNanos() {
        return lastForceNanos;
    }

    /**
     * Appends the records of one group with one write and one force, and indexes them.
     *
     * @throws IOException where the disk fails; it is not known then what of the group is on the
     *     medium
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
        counters.forced();
        counters.appended(group.size(), bytes);
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
        segment.recordsAppended(group.size(), bytes);
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
     * Seals the segment before, where it can be sealed, and creates the next one; both are on
     * stable storage when this returns.
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
        counters.forced();
        unsealed = Optional.empty();
        lastSegmentNumber = next.number();
        segments.put(next.number(), next);
        active = Optional.of(new ActiveSegment(next, file));
    }

    private StorageFile createSegmentFile(Segment segment, SegmentHeader header)
            throws IOException {
        directory.delete(
                segment.fileName()); // an attempt that failed may have left a part of it, without
        // any record
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

    /** Seals the segment that a former process has left open. */
    private void sealRecovered(UnsealedSegment left) throws IOException {
        Segment segment = left.segment();
        try (StorageFile file = directory.open(segment.fileName())) {
            // A torn write is cut off, or it would look like damage once a seal stands behind it.
            long validEnd = left.validEnd().orElseThrow();
            file.truncate(validEnd);
            segment.setSizeBytes(validEnd);
            writeSeal(file, segment);
        } catch (IOException e) {
            unsealed =
                    Optional.of(
                            left.abandoned()); // one bad file must not keep the store from going on
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
        segment.sealAppended();
    }

    /** Writes the hint of a sealed segment; a start reads the segment itself where that fails. */
    void writeHint(Segment segment) {
        try {
            HintFile.write(directory, segment, lastSequence);
        } catch (IOException e) {
            counters.diskFailed();
        }
    }

    /** Goes on with a new segment where the active one has reached its size or its age. */
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
        counters.forced();
        current.file().close();
        startSegment();
        writeHint(segment);
    }

    /** The disk has failed: the active segment, if there is one, is never written again. */
    void abandonActive() {
        active.ifPresent(
                each -> {
                    unsealed =
                            Optional.of(new UnsealedSegment(each.segment(), OptionalLong.empty()));
                    closeQuietly(each.file());
                });
        active = Optional.empty();
    }

    /** Ends the active segment in order, if there is one. */
    void sealActive() throws IOException {
        if (active.isPresent()) {
            writeSeal(active.get().file(), active.get().segment());
            writeHint(active.get().segment());
        }
    }

    /** Closes the active segment's file; nothing is appended any more. */
    void close() {
        active.ifPresent(each -> closeQuietly(each.file()));
    }

    /** Deletes segments, of which none is in use, with all that the index has of them. */
    void delete(List<Segment> expired) throws IOException {
        for (Segment segment : expired) {
            directory.delete(segment.fileName());
            directory.delete(segment.hintFileName());
            index.removeAll(segment.liveEntries());
            segments.remove(segment.number());
            counters.segmentExpired();
        }
        if (!expired.isEmpty()) {
            directory.forceDirectory(); // an old record must not come back once newer ones of its
            // key are gone
        }
    }

    private static void closeQuietly(StorageFile file) {
        try {
            file.close();
        } catch (IOException e) {
            // Nothing more is asked of the file, and what was acknowledged was forced before.
        }
    }
}
