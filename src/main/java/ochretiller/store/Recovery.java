package ochretiller.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Reads the files of a store and builds its index. It changes no file, so an inspection reads a
 * store exactly as a start does. Confined to the reading thread; an opened store takes over the
 * index.
 *
 * <p>A record that extends past the end of its file is a torn write: it was never acknowledged and
 * is ignored. Bytes that are not a valid record, and a missing end of an earlier segment that was
 * not abandoned, are damage.
 */
final class Recovery {
    private final StorageDirectory directory;
    private final HintPolicy hintPolicy;
    private final Consumer<String> progress;
    private final Index index = new Index();
    private final NavigableMap<Long, RecoveredSegment> segments = new TreeMap<>();
    private final List<String> leftoverFiles = new ArrayList<>();
    private final List<String> unknownFiles = new ArrayList<>();
    private final List<String> damageReports = new ArrayList<>();
    private long lastSequence;
    private long lastSegmentNumber;

    /** Whether the entries of sealed segments may be read from their hints. */
    enum HintPolicy {
        /**
         * Used at a start: hints that match their segment are trusted, and values are not read
         * until they are requested.
         */
        USE_HINTS,
        /** Used to verify a store: every byte of every record is read. */
        READ_EVERYTHING
    }

    private Recovery(StorageDirectory directory, HintPolicy hintPolicy, Consumer<String> progress) {
        this.directory = directory;
        this.hintPolicy = hintPolicy;
        this.progress = progress;
    }

    /**
     * Reads all files of the directory.
     *
     * @param progress receives the name of each segment file before it is read
     * @throws StoreException if the directory does not exist, or a later release has written it
     */
    static Recovery read(
            StorageDirectory directory, HintPolicy hintPolicy, Consumer<String> progress)
            throws IOException {
        Recovery recovery = new Recovery(directory, hintPolicy, progress);
        recovery.readDirectory();
        recovery.reportMissingEnds();
        return recovery;
    }

    Index index() {
        return index;
    }

    /** All segments, oldest first. */
    Collection<RecoveredSegment> segments() {
        return segments.values();
    }

    Optional<RecoveredSegment> lastSegment() {
        return Optional.ofNullable(segments.lastEntry()).map(last -> last.getValue());
    }

    /**
     * Obsolete files that the next start deletes: unused segments, hints without a segment,
     * unfinished copies.
     */
    List<String> leftoverFiles() {
        return List.copyOf(leftoverFiles);
    }

    /** Files that do not belong to the store, which never changes them. */
    List<String> unknownFiles() {
        return List.copyOf(unknownFiles);
    }

    /** Descriptions of what cannot be read, one line each. */
    List<String> damageReports() {
        return List.copyOf(damageReports);
    }

    /** The highest sequence number in use. */
    long lastSequence() {
        return lastSequence;
    }

    /** The highest segment number in use. */
    long lastSegmentNumber() {
        return lastSegmentNumber;
    }

    /**
     * Retains damaged segments until the last record that damage can hide has expired. Until then
     * an acknowledged record may be missing.
     *
     * @param maxRecordLifetimeMillis longest lifetime of a record
     * @return that time on the store's clock; empty without damage
     */
    OptionalLong retainDamagedSegments(long nowMillis, long maxRecordLifetimeMillis) {
        OptionalLong until = OptionalLong.empty();
        for (RecoveredSegment each : segments.values()) {
            if (each.segment().isDamaged()) {
                // Its records were written before the next segment was created, if there is one.
                Optional<RecoveredSegment> next =
                        Optional.ofNullable(segments.higherEntry(each.segment().number()))
                                .map(entry -> entry.getValue());
                long writtenBy =
                        next.map(segment -> segment.segment().createdAtMillis()).orElse(nowMillis);
                long end = writtenBy + maxRecordLifetimeMillis;
                each.segment().extendExpiry(end);
                until = OptionalLong.of(Math.max(until.orElse(end), end));
            }
        }
        return until;
    }

    private void readDirectory() throws IOException {
        SortedSet<Long> logs = new TreeSet<>();
        SortedSet<Long> hints = new TreeSet<>();
        for (String name : directory.listFiles()) {
            Optional<SegmentFileName> parsed = SegmentFileName.parse(name);
            if (parsed.isPresent()) {
                long number = parsed.get().segmentNumber();
                switch (parsed.get().kind()) {
                    case LOG -> logs.add(number);
                    case HINT -> hints.add(number);
                    default -> leftoverFiles.add(name);
                }
            } else if (!name.equals(SegmentFileName.LOCK_FILE)) {
                unknownFiles.add(name);
            }
        }
        hints.stream()
                .filter(number -> !logs.contains(number))
                .map(SegmentFileName::ofHint)
                .forEach(leftoverFiles::add);
        for (long number : logs) {
            lastSegmentNumber = Math.max(lastSegmentNumber, number);
            readSegment(number, hints.contains(number), number == logs.last());
        }
    }

    private void readSegment(long number, boolean hasHint, boolean isLast) throws IOException {
        String name = SegmentFileName.ofLog(number);
        progress.accept(name);
        try (StorageFile file = directory.open(name)) {
            long fileSize = file.size();
            Optional<SegmentHeader> header =
                    readHeader(file, name).filter(each -> each.segmentNumber() == number);
            if (header.isEmpty() && isLast && fileSize <= SegmentHeader.BYTES) {
                // Records are appended only once the header is on stable storage, so this segment
                // was never used.
                leftoverFiles.add(name);
                return;
            }
            long createdAtMillis = header.map(SegmentHeader::createdAtMillis).orElse(0L);
            boolean followsAbandoned = header.map(SegmentHeader::followsAbandoned).orElse(false);
            RecoveredSegment recovered =
                    new RecoveredSegment(
                            new Segment(number, createdAtMillis, followsAbandoned), header);
            recovered.segment().setSizeBytes(fileSize);
            segments.put(number, recovered);
            if (header.isEmpty()) {
                reportDamage(recovered.segment(), "its start cannot be read");
                return;
            }
            lastSequence = Math.max(lastSequence, header.get().firstSequence() - 1);
            boolean mayUseHint = hasHint && hintPolicy == HintPolicy.USE_HINTS;
            if (!mayUseHint || !readHint(recovered, file, fileSize)) {
                scan(recovered, file, fileSize);
            }
        }
    }

    private static Optional<SegmentHeader> readHeader(StorageFile file, String name)
            throws IOException {
        ByteBuffer start = ByteBuffer.allocate(SegmentHeader.BYTES);
        file.read(start, 0);
        return SegmentHeader.decode(start.flip(), name);
    }

    /** Reads the entries of a sealed segment from its hint; false if the hint does not match. */
    private boolean readHint(RecoveredSegment recovered, StorageFile file, long fileSize)
            throws IOException {
        Optional<HintFile> hint = HintFile.read(directory, file, recovered.segment(), fileSize);
        if (hint.isEmpty()) {
            return false;
        }
        for (IndexEntry entry : hint.get().entries()) {
            lastSequence = Math.max(lastSequence, entry.sequence());
            index.put(entry);
        }
        lastSequence = Math.max(lastSequence, hint.get().lastSequence());
        recovered.applyHint(hint.get());
        return true;
    }

    private void scan(RecoveredSegment recovered, StorageFile file, long fileSize)
            throws IOException {
        Segment segment = recovered.segment();
        SegmentScanner.Visitor visitor =
                new SegmentScanner.Visitor() {
                    @Override
                    public void onRecord(DecodedRecord record, long position) {
                        addRecord(recovered, record, position);
                    }

                    @Override
                    public void onUnreadableBytes(long fromPosition, long toPosition) {
                        reportDamage(
                                segment,
                                "bytes " + fromPosition + " to " + toPosition + " are no record");
                    }
                };
        Optional<SegmentScanner.UnreadableTail> tail =
                new SegmentScanner(file, fileSize, visitor).scan();
        // A torn write is expected at the end of the last segment; bytes that are complete but
        // invalid may have been acknowledged.
        if (tail.isPresent() && (segment.isSealed() || !tail.get().isTruncated())) {
            visitor.onUnreadableBytes(tail.get().position(), fileSize);
        }
    }

    private void addRecord(RecoveredSegment recovered, DecodedRecord record, long position) {
        RecordAttributes attributes = record.attributes();
        lastSequence = Math.max(lastSequence, attributes.sequence());
        recovered.extendValidEnd(position + attributes.recordBytes());
        recovered.segment().countRecoveredRecord(attributes.kind() == RecordFormat.SEAL);
        if (attributes.concernsKey()) {
            StoreKey key = new StoreKey(record.key());
            index.put(
                    new IndexEntry(
                            key,
                            record.metadata(),
                            attributes,
                            recovered.segment(),
                            (int) position));
        }
    }

    /**
     * Reports each segment that has lost its end: it has no seal, is not the last one, and the next
     * header does not mark it as abandoned.
     */
    private void reportMissingEnds() {
        for (RecoveredSegment each : segments.values()) {
            Segment segment = each.segment();
            boolean abandoned =
                    Optional.ofNullable(segments.higherEntry(segment.number()))
                            .map(next -> next.getValue().segment().followsAbandoned())
                            .orElse(true);
            if (!segment.isSealed() && !segment.isDamaged() && !abandoned) {
                reportDamage(segment, "its end is missing");
            }
        }
    }

    private void reportDamage(Segment segment, String description) {
        damageReports.add(segment.fileName() + ": " + description);
        segment.markDamaged();
    }
}
