package ochretiller.store;

import java.time.Duration;

/**
 * What a store may take, and how it goes about it. Immutable.
 *
 * @param maxEntries most keys with a value; removed ones are not counted
 * @param maxBytes most bytes of all its segments
 * @param maxIndexBytes most memory of the index, estimated
 * @param segmentBytes size at which the next segment is begun
 * @param maxSegmentAge age at which a segment with records is followed by the next, so that it can
 *     be deleted in time
 * @param compactionBytesPerSecond rate at which compaction may copy
 * @param compactionDeadRatio share of dead bytes, 0 to 1, from which a segment is worth compacting
 * @param compactionMinRemainingLife remaining life below which a segment is not compacted: it will
 *     soon be deleted as a whole
 * @param maxRecordLife longest life of a record, which is also how long damage may hide one
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
     * One such part of each bound is reserved for known keys: new values, removals and the ends of
     * what was begun.
     */
    static final int RESERVE_DIVISOR = 8;

    /** A builder without any bound but those of the format. */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects limits; what is not set is unbounded, or as the field says. Owned by one thread. */
    public static final class Builder {
        private static final int DEFAULT_SEGMENT_BYTES = 64 << 20;
        private static final double DEFAULT_DEAD_RATIO = 0.5;
        private static final Duration UNBOUNDED_LIFE = Duration.ofDays(36_500);

        private int maxEntries = Integer.MAX_VALUE;
        private long maxBytes = Long.MAX_VALUE;
        private long maxIndexBytes = Long.MAX_VALUE;
        private int segmentBytes = DEFAULT_SEGMENT_BYTES;
        private Duration maxSegmentAge = Duration.ofDays(1);
        private long compactionBytesPerSecond = Compaction.UNLIMITED_RATE;
        private double compactionDeadRatio = DEFAULT_DEAD_RATIO;
        private Duration compactionMinRemainingLife = Duration.ZERO;
        private Duration maxRecordLife = UNBOUNDED_LIFE;

        private Builder() {}

        /** Most keys with a value. */
        public Builder maxEntries(int entries) {
            maxEntries = entries;
            return this;
        }

        /** Most bytes of all segments. */
        public Builder maxBytes(long bytes) {
            maxBytes = bytes;
            return this;
        }

        /** Most memory of the index. */
        public Builder maxIndexBytes(long bytes) {
            maxIndexBytes = bytes;
            return this;
        }

        /** Size at which the next segment is begun; 64 MiB where not set. */
        public Builder segmentBytes(int bytes) {
            segmentBytes = bytes;
            return this;
        }

        /** Age at which the next segment is begun; a day where not set. */
        public Builder maxSegmentAge(Duration age) {
            maxSegmentAge = age;
            return this;
        }

        /** Rate of compaction. */
        public Builder compactionBytesPerSecond(long rate) {
            compactionBytesPerSecond = rate;
            return this;
        }

        /** Share of dead bytes from which a segment is compacted; a half where not set. */
        public Builder compactionDeadRatio(double ratio) {
            compactionDeadRatio = ratio;
            return this;
        }

        /** Remaining life below which a segment is not compacted; none where not set. */
        public Builder compactionMinRemainingLife(Duration life) {
            compactionMinRemainingLife = life;
            return this;
        }

        /** Longest life of a record; a hundred years where not set. */
        public Builder maxRecordLife(Duration life) {
            maxRecordLife = life;
            return this;
        }

        /** The limits as set so far. */
        public StoreLimits build() {
            return new StoreLimits(
                    maxEntries,
                    maxBytes,
                    maxIndexBytes,
                    segmentBytes,
                    maxSegmentAge,
                    compactionBytesPerSecond,
                    compactionDeadRatio,
                    compactionMinRemainingLife,
                    maxRecordLife);
        }
    }
}
