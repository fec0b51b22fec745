package ochretiller.store;

import java.time.Duration;

/**
 * What a store may take and how it goes about it.
 *
 * @param maxEntries keys with a value, removed ones not counted
 * @param maxBytes bytes of all its files
 * @param maxIndexBytes bytes of the index, as reckoned by {@link Index#ENTRY_OVERHEAD_BYTES}
 * @param segmentBytes size at which the next segment is begun
 * @param maxSegmentAge age at which a segment that has records is followed by the next, so that it
 *     can be dropped in time
 * @param compactionBytesPerSecond bytes a second that compaction may copy
 * @param compactionDeadRatio share of dead bytes from which a segment is worth copying
 * @param compactionMinRemainingLife life that a segment must have left to be copied; shorter ones
 *     are waited for and dropped
 * @param maxRecordLife how long damage that was found is remembered: the longest life that a lost
 *     record can have had
 */
public record StoreLimits(
        int maxEntries,
        long maxBytes,
        long maxIndexBytes,
        int segmentBytes,
        Duration maxSegmentAge,
        long compactionBytesPerSecond,
        double compactionDeadRatio,
        Duration compactionMinRemainingLife,
        Duration maxRecordLife) {
    /**
     * Part of each bound that is kept for what must be written: ends and removals of what is there
     * already.
     */
    static final int RESERVE_PART = 8;

    /** Room for some entries of a few hundred bytes each, in segments of a sixteenth. */
    public static StoreLimits of(int mostEntries, long mostBytes, Duration damageSpan) {
        return new StoreLimits(
                mostEntries,
                mostBytes,
                mostEntries * 512L,
                (int) Math.max(4096, Math.min(mostBytes / 16, 64 << 20)),
                Duration.ofSeconds(5),
                8 << 20,
                0.5,
                Duration.ofSeconds(60),
                damageSpan);
    }
}
