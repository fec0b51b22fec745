package ochretiller.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Reads what a folder holds. It changes nothing, so that a look at a store is the same reading as
 * its start.
 *
 * <p>What ends before it is whole was being written when the process or the machine stopped: it was
 * never acknowledged and is passed over. What is there in full and wrong, or missing in front of
 * what is there, is damage.
 */
final class Recovery {
    private static final int CHUNK = 1 << 20;

    /** One file, as it was read. */
    static final class RecoveredSegment {
        final Segment segment;

        /** Null where it cannot be read. */
        final RecordFormat.SegmentHeader header;

        /** Where the last whole record ends; behind it is what was never written whole. */
        long goodEnd = RecordFormat.SEGMENT_HEADER_BYTES;

        boolean hinted;

        RecoveredSegment(Segment segment, RecordFormat.SegmentHeader header) {
            this.segment = segment;
            this.header = header;
        }
    }

    final Index index = new Index();
    final TreeMap<Long, RecoveredSegment> found = new TreeMap<>();

    /**
     * Segments whose start was never written whole, hints without a segment, halves of a
     * compaction.
     */
    final List<String> useless = new ArrayList<>();

    final List<String> foreign = new ArrayList<>();
    final List<String> damage = new ArrayList<>();
    long lastSequence;
    long lastNumber;

    private final StorageDirectory disk;
    private final boolean useHints;
    private final Consumer<String> progress;

    private Recovery(StorageDirectory disk, boolean useHints, Consumer<String> progress) {
        this.disk = disk;
        this.useHints = useHints;
        this.progress = progress;
    }

    /**
     * Reads all of it.
     *
     * @param useHints whether whole segments are taken from their hints; a check of the store reads
     *     every byte instead
     * @param progress told of each file
     */
    static Recovery read(StorageDirectory disk, boolean useHints, Consumer<String> progress)
            throws IOException {
        Recovery recovery = new Recovery(disk, useHints, progress);
        recovery.read();
        return recovery;
    }

    private void read() throws IOException {
        TreeSet<Long> segments = new TreeSet<>();
        TreeSet<Long> hints = new TreeSet<>();
        for (String name : disk.listFiles()) {
            RecordFormat.FileName known = RecordFormat.FileName.of(name);
            if (known == null) {
                if (!name.equals("LOCK")) {
                    foreign.add(name);
                }
            } else {
                switch (known.kind()) {
                    case "log" -> segments.add(known.number());
                    case "hint" -> hints.add(known.number());
                    default -> useless.add(name);
                }
            }
        }
        for (long number : hints) {
            if (!segments.contains(number)) {
                useless.add(RecordFormat.hintFileName(number));
            }
        }
        for (long number : segments) {
            lastNumber = Math.max(lastNumber, number);
            segment(number, hints.contains(number), number == segments.last());
        }
        RecoveredSegment before = null;
        for (RecoveredSegment each : found.values()) {
            if (before != null
                    && !before.segment.sealed
                    && !before.segment.damaged
                    && !each.segment.followsAbandoned) {
                damaged(before, "its end is missing");
            }
            before = each;
        }
    }

    private void segment(long number, boolean hint, boolean last) throws IOException {
        String name = RecordFormat.segmentFileName(number);
        progress.accept(name);
        try (StorageDirectory.StorageFile file = disk.open(name)) {
            long size = file.size();
            ByteBuffer start = ByteBuffer.allocate(RecordFormat.SEGMENT_HEADER_BYTES);
            file.read(start, 0);
            RecordFormat.SegmentHeader header =
                    RecordFormat.SegmentHeader.decode(start.flip(), name);
            if (header != null && header.number() != number) {
                header = null;
            }
            if (header == null && last && size <= RecordFormat.SEGMENT_HEADER_BYTES) {
                useless.add(
                        name); // a segment is used only once its start is on the medium: this one
                // never was
                return;
            }
            RecoveredSegment read =
                    new RecoveredSegment(
                            new Segment(number, header == null ? 0 : header.createdAtMillis()),
                            header);
            found.put(number, read);
            read.segment.size = size;
            if (header == null) {
                damaged(read, "its start cannot be read");
                return;
            }
            read.segment.followsAbandoned = header.afterFailure();
            lastSequence = Math.max(lastSequence, header.firstSequence() - 1);
            if (!(hint && useHints && hinted(read, file, size))) {
                scan(read, file, size);
            }
        }
    }

    private void damaged(RecoveredSegment read, String what) {
        damage.add(read.segment.fileName() + ": " + what);
        read.segment.damaged = true;
    }

    /**
     * When the last record that damage may have hidden is past its time, for records that live so
     * long at most.
     */
    long damagedUntil(long now, long span) {
        long until = Long.MIN_VALUE;
        RecoveredSegment before = null;
        for (RecoveredSegment each : found.values()) {
            if (before != null && before.segment.damaged) {
                before.segment.extendLife(each.segment.createdAtMillis + span);
                until = Math.max(until, each.segment.createdAtMillis + span);
            }
            before = each;
        }
        if (before != null && before.segment.damaged) {
            before.segment.extendLife(now + span);
            until = Math.max(until, now + span);
        }
        return until;
    }

    /**
     * Takes a sealed segment from its hint; false where the hint is not good or not of this file.
     */
    private boolean hinted(RecoveredSegment read, StorageDirectory.StorageFile file, long size)
            throws IOException {
        HintFile hint = HintFile.read(disk, file, read.segment, size);
        if (hint == null) {
            return false;
        }
        for (Index.IndexEntry slot : hint.entries()) {
            lastSequence = Math.max(lastSequence, slot.sequence);
            index.put(slot);
        }
        lastSequence = Math.max(lastSequence, hint.lastSequence());
        read.goodEnd = size;
        read.segment.deadBytes += hint.deadBytes();
        read.segment.records = hint.records();
        read.segment.sealed = true;
        read.hinted = true;
        return true;
    }

    private void scan(RecoveredSegment read, StorageDirectory.StorageFile file, long size)
            throws IOException {
        Segment segment = read.segment;
        ByteBuffer in =
                ByteBuffer.allocate(
                        (int)
                                Math.min(
                                        Math.max(0, size - RecordFormat.SEGMENT_HEADER_BYTES),
                                        CHUNK + RecordFormat.MAX_RECORD_BYTES));
        long base = RecordFormat.SEGMENT_HEADER_BYTES;
        in.limit(0);
        long skippedFrom = -1;
        boolean cut = false;
        while (true) {
            if (in.remaining() < RecordFormat.MAX_RECORD_BYTES && base + in.limit() < size) {
                long at = base + in.position();
                in.clear();
                file.read(in, at);
                in.flip();
                base = at;
            }
            if (!in.hasRemaining()) {
                break;
            }
            long at = base + in.position();
            RecordFormat.RecordStatus place = RecordFormat.inspect(in);
            if (place == RecordFormat.RecordStatus.VALID) {
                RecordFormat.DecodedRecord entry = RecordFormat.decode(in);
                if (skippedFrom >= 0) {
                    damaged(read, "bytes " + skippedFrom + " to " + at + " are no record");
                    skippedFrom = -1;
                }
                take(read, entry, at);
                in.position(in.position() + entry.recordBytes());
                continue;
            }
            if (skippedFrom < 0) {
                skippedFrom = at;
                cut = place == RecordFormat.RecordStatus.TRUNCATED;
            }
            in.position(
                    in.position() + 1); // the next record, if there is one, begins with its mark
        }
        if (skippedFrom >= 0 && (segment.sealed || !cut)) {
            // All of its bytes are there, and they are wrong: it may have been acknowledged.
            damaged(read, "bytes " + skippedFrom + " to " + size + " are no record");
        }
    }

    private void take(RecoveredSegment read, RecordFormat.DecodedRecord entry, long at) {
        Segment segment = read.segment;
        lastSequence = Math.max(lastSequence, entry.sequence());
        read.goodEnd = at + entry.recordBytes();
        segment.records++;
        segment.sealed = entry.kind() == RecordFormat.SEAL;
        // A kind of a later release of the same format may be passed over, as the page says.
        if (entry.kind() != RecordFormat.PUT && entry.kind() != RecordFormat.TOMBSTONE) {
            return;
        }
        index.put(
                new Index.IndexEntry(
                        new StoreKey(entry.key()),
                        entry.sequence(),
                        entry.kind(),
                        entry.expiresAtMillis(),
                        entry.metadata(),
                        entry.recordBytes(),
                        segment,
                        (int) at));
    }
}
