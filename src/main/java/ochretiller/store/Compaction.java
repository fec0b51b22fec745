package ochretiller.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Copies the live records of one sealed segment into a temporary file, step by step, and then
 * atomically replaces the segment with the copy. The segment keeps its number: the order of
 * segments does not matter, as the sequence number identifies the newest record of a key. Confined
 * to the thread that owns the {@link Index}.
 */
final class Compaction {
    /** Bytes after which a step stops copying, which bounds how long appends wait for it. */
    private static final int STEP_BYTES = 256 * 1024;

    /** A rate that disables the limit. */
    static final long UNLIMITED_RATE = Long.MAX_VALUE;

    private final Segment segment;
    private final long bytesPerSecond;
    private final long startedAtMillis;
    private final List<IndexEntry> liveEntries;
    private final Map<IndexEntry, Integer> newOffsets = new HashMap<>();
    private Optional<OpenFiles> files = Optional.empty();
    private int nextEntryIndex;
    private long copySizeBytes = SegmentHeader.BYTES;

    /** The segment's file and its unfinished copy. */
    private record OpenFiles(StorageFile source, StorageFile copy) implements Closeable {
        @Override
        public void close() throws IOException {
            try (source;
                    copy) {
                // closes both files even if closing one fails
            }
        }
    }

    /**
     * Creates a compaction without accessing the disk.
     *
     * @param segment a sealed and undamaged segment
     * @param bytesPerSecond maximum copy rate, or {@link #UNLIMITED_RATE}
     */
    Compaction(Segment segment, long bytesPerSecond, long nowMillis) {
        this.segment = segment;
        this.bytesPerSecond = bytesPerSecond;
        this.startedAtMillis = nowMillis;
        this.liveEntries = new ArrayList<>(segment.liveEntries());
        // An expired tombstone no longer hides an older record.
        liveEntries.removeIf(entry -> entry.isExpired(nowMillis));
        liveEntries.sort(Comparator.comparingInt(IndexEntry::offset));
    }

    /**
     * Returns a compaction of the eligible segment with the most dead bytes; empty if none is
     * eligible. An eligible segment has reached the dead ratio and will not soon expire as a whole.
     */
    static Optional<Compaction> forBestCandidate(
            Collection<Segment> candidates, StoreLimits limits, long nowMillis) {
        return candidates.stream()
                .filter(segment -> isEligible(segment, limits, nowMillis))
                .reduce((best, each) -> each.deadBytes() > best.deadBytes() ? each : best)
                .map(best -> new Compaction(best, limits.compactionBytesPerSecond(), nowMillis));
    }

    private static boolean isEligible(Segment segment, StoreLimits limits, long nowMillis) {
        long remainingLifeMillis = segment.latestExpiryMillis() - nowMillis;
        return segment.isSealed()
                && !segment.isDamaged()
                && segment.deadRatio() >= limits.compactionDeadRatio()
                && remainingLifeMillis > limits.compactionMinRemainingLifetime().toMillis();
    }

    Segment segment() {
        return segment;
    }

    private String copyFileName() {
        return segment.fileName() + SegmentFileName.TEMPORARY_SUFFIX;
    }

    /**
     * Copies as many records as the rate allows.
     *
     * @return whether the copy is complete, sealed and on stable storage, so that {@link #finish}
     *     is due
     * @throws IOException if the disk fails or a record of the segment is damaged
     */
    boolean step(StorageDirectory directory, long nowMillis) throws IOException {
        if (files.isEmpty()) {
            files = Optional.of(openFiles(directory));
        }
        OpenFiles open = files.get();
        ByteBuffer out = ByteBuffer.allocate(STEP_BYTES + RecordFormat.MAX_RECORD_BYTES);
        long allowedBytes = allowedBytes(nowMillis);
        while (nextEntryIndex < liveEntries.size() && out.position() < allowedBytes) {
            IndexEntry entry = liveEntries.get(nextEntryIndex);
            nextEntryIndex++;
            if (!entry.isSuperseded()) {
                copyRecord(open.source(), entry, out);
            }
        }
        if (out.position() > 0) {
            int bytes = out.position();
            open.copy().write(out.flip(), copySizeBytes);
            open.copy().force();
            copySizeBytes += bytes;
        }
        if (nextEntryIndex < liveEntries.size()) {
            return false;
        }
        long lastSequence = liveEntries.stream().mapToLong(IndexEntry::sequence).max().orElse(0);
        open.copy().write(RecordFormat.encodeSeal(lastSequence, newOffsets.size()), copySizeBytes);
        open.copy().force();
        copySizeBytes += RecordFormat.SEAL_BYTES;
        return true;
    }

    private OpenFiles openFiles(StorageDirectory directory) throws IOException {
        directory.delete(copyFileName());
        StorageFile source = directory.open(segment.fileName());
        try {
            StorageFile copy = directory.create(copyFileName());
            ByteBuffer header = ByteBuffer.allocate(SegmentHeader.BYTES);
            source.read(header, 0);
            copy.write(header.flip(), 0);
            return new OpenFiles(source, copy);
        } catch (IOException e) {
            source.close();
            throw e;
        }
    }

    private long allowedBytes(long nowMillis) {
        if (bytesPerSecond == UNLIMITED_RATE) {
            return STEP_BYTES;
        }
        long allowedSoFar = bytesPerSecond * (nowMillis - startedAtMillis + 1) / 1000;
        return Math.min(STEP_BYTES, allowedSoFar - copySizeBytes);
    }

    private void copyRecord(StorageFile source, IndexEntry entry, ByteBuffer out)
            throws IOException {
        ByteBuffer record = ByteBuffer.allocate(entry.recordBytes());
        source.read(record, entry.offset());
        record.flip();
        // A damaged record is not copied: the compaction fails and the damaged segment is retained.
        if (RecordFormat.inspect(record) != RecordStatus.VALID) {
            throw new IOException("damaged record in " + segment.fileName());
        }
        newOffsets.put(entry, (int) (copySizeBytes + out.position()));
        out.put(record);
    }

    /**
     * Replaces the segment with its complete copy and updates the index.
     *
     * @return size of the copy in bytes
     * @throws IOException if the disk fails; both files contain all live records, so a restart may
     *     find either
     */
    long finish(StorageDirectory directory, Index index) throws IOException {
        closeFiles();
        directory.delete(segment.hintFileName());
        directory.rename(copyFileName(), segment.fileName());
        // From here on the copy is read, even if forcing the directory fails.
        List<IndexEntry> expired =
                segment.liveEntries().stream()
                        .filter(entry -> !newOffsets.containsKey(entry))
                        .toList();
        index.removeAll(expired);
        long deadBytes = RecordFormat.SEAL_BYTES;
        for (Map.Entry<IndexEntry, Integer> moved : newOffsets.entrySet()) {
            IndexEntry entry = moved.getKey();
            entry.moveTo(moved.getValue());
            deadBytes += entry.isSuperseded() ? entry.recordBytes() : 0;
        }
        segment.applyCompaction(copySizeBytes, deadBytes, newOffsets.size() + 1);
        directory.forceDirectory();
        return copySizeBytes;
    }

    /** Deletes the copy; the segment remains unchanged. */
    void abandon(StorageDirectory directory) {
        try {
            closeFiles();
            directory.delete(copyFileName());
        } catch (IOException e) {
            // The disk failed, which is why the copy is abandoned; the next start deletes it.
        }
    }

    private void closeFiles() throws IOException {
        Optional<OpenFiles> open = files;
        files = Optional.empty();
        if (open.isPresent()) {
            open.get().close();
        }
    }
}
