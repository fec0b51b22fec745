package ochretiller.store;

/**
 * Sizes of a store before and after an offline compaction.
 *
 * @param bytesBefore total bytes of all segments before the compaction
 * @param bytesAfter total bytes of all segments after the compaction
 */
public record CompactionReport(long bytesBefore, long bytesAfter) {}
