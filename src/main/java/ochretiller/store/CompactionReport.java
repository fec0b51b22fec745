package ochretiller.store;

/**
 * Sizes of a store around an offline compaction.
 *
 * @param bytesBefore bytes of all segments before it
 * @param bytesAfter bytes of all segments after it
 */
public record CompactionReport(long bytesBefore, long bytesAfter) {}
