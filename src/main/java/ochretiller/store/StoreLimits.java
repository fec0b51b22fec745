package ochretiller.store;

import java.time.Duration;

/**
 * Limits of a store and settings of its segments and its compaction. Immutable.
 *
 * @param maxEntries maximum number of keys with a value; removed keys are not counted
 * @param maxBytes maximum total size of all segments, in bytes
 * @param maxIndexBytes maximum estimated memory of the index, in bytes
 * @param segmentBytes size in bytes at which the next segment is started
 * @param maxSegmentAge age at which a segment that contains records is sealed and the next one
 *     started, so that it can be deleted in time
 * @param compactionBytesPerSecond maximum rate at which compaction copies
 * @param compactionDeadRatio fraction of dead bytes, 0 to 1, from which a segment is compacted
 * @param compactionMinRemainingLifetime remaining lifetime up to which a segment is not compacted,
 *     as it will soon be deleted as a whole
 * @param maxRecordLifetime longest lifetime of a record, which is also how long damage may hide one
 */
public record StoreLimits(
        int maxEntries,
        long maxBytes,
        long maxIndexBytes,
        int segmentBytes,
        Duration maxSegmentAge,
        long compactionBytesPerSecond,
        double compactionDeadRatio,
        Duration compactionMinRemainingLifetime,
        Duration maxRecordLifetime) {
    /**
     * Each limit divided by this is the reserve for existing keys: new values, removals and the
     * completion of operations in progress.
     */
    static final int RESERVE_DIVISOR = 8;

    /** Returns a builder whose only limits are those of the format. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Builds {@link StoreLimits}. A limit that is not set is unlimited or has the default named at
     * its setter. Not thread-safe.
     */
    public static final class Builder {
        private static final int DEFAULT_SEGMENT_BYTES = 64 << 20;
        private static final double DEFAULT_DEAD_RATIO = 0.5;
        private static final Duration UNLIMITED_LIFETIME = Duration.ofDays(36_500);

        private int maxEntries = Integer.MAX_VALUE;
        private long maxBytes = Long.MAX_VALUE;
        private long maxIndexBytes = Long.MAX_VALUE;
        private int segmentBytes = DEFAULT_SEGMENT_BYTES;
        private Duration maxSegmentAge = Duration.ofDays(1);
        private long compactionBytesPerSecond = Compaction.UNLIMITED_RATE;
        private double compactionDeadRatio = DEFAULT_DEAD_RATIO;
        private Duration compactionMinRemainingLifetime = Duration.ZERO;
        private Duration maxRecordLifetime = UNLIMITED_LIFETIME;

        private Builder() {}

        /** Sets the maximum number of keys with a value. */
        public Builder maxEntries(int entries) {
            maxEntries = entries;
            return this;
        }

        /** Sets the maximum total size of all segments, in bytes. */
        public Builder maxBytes(long bytes) {
            maxBytes = bytes;
            return this;
        }

        /** Sets the maximum estimated memory of the index, in bytes. */
        public Builder maxIndexBytes(long bytes) {
            maxIndexBytes = bytes;
            return this;
        }

        /** Sets the size in bytes at which the next segment is started; 64 MiB by default. */
        public Builder segmentBytes(int bytes) {
            segmentBytes = bytes;
            return this;
        }

        /** Sets the age at which the next segment is started; one day by default. */
        public Builder maxSegmentAge(Duration age) {
            maxSegmentAge = age;
            return this;
        }

        /** Sets the maximum copy rate of compaction, in bytes per second. */
        public Builder compactionBytesPerSecond(long rate) {
            compactionBytesPerSecond = rate;
            return this;
        }

        /** Sets the fraction of dead bytes from which a segment is compacted; 0.5 by default. */
        public Builder compactionDeadRatio(double ratio) {
            compactionDeadRatio = ratio;
            return this;
        }

        /** Sets the remaining lifetime up to which a segment is not compacted; zero by default. */
        public Builder compactionMinRemainingLifetime(Duration lifetime) {
            compactionMinRemainingLifetime = lifetime;
            return this;
        }

        /** Sets the longest lifetime of a record; a hundred years by default. */
        public Builder maxRecordLifetime(Duration lifetime) {
            maxRecordLifetime = lifetime;
            return this;
        }

        /** Returns the limits set so far. */
        public StoreLimits build() {
            return new StoreLimits(
                    maxEntries,
                    maxBytes,
                    maxIndexBytes,
                    segmentBytes,
                    maxSegmentAge,
                    compactionBytesPerSecond,
                    compactionDeadRatio,
                    compactionMinRemainingLifetime,
                    maxRecordLifetime);
        }
    }
}
