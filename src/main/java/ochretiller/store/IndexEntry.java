package ochretiller.store;

/**
 * The newest known record of a key and its position on disk. A tombstone also has an entry until it
 * expires, so that an older record that is still on disk cannot reappear. Confined to the thread
 * that owns the {@link Index}.
 */
final class IndexEntry {
    private final StoreKey key;
    private final byte[] metadata;
    private final long sequence;
    private final byte kind;
    private final long expiresAtMillis;
    private final int recordBytes;
    private final Segment segment;
    private int offset;
    private boolean superseded;

    /**
     * Creates an entry that no newer record has superseded.
     *
     * @param offset position of the record, in bytes from the start of its segment
     */
    IndexEntry(
            StoreKey key,
            byte[] metadata,
            RecordAttributes attributes,
            Segment segment,
            int offset) {
        this.key = key;
        this.metadata = metadata;
        this.sequence = attributes.sequence();
        this.kind = attributes.kind();
        this.expiresAtMillis = attributes.expiresAtMillis();
        this.recordBytes = attributes.recordBytes();
        this.segment = segment;
        this.offset = offset;
    }

    StoreKey key() {
        return key;
    }

    byte[] metadata() {
        return metadata;
    }

    long sequence() {
        return sequence;
    }

    byte kind() {
        return kind;
    }

    long expiresAtMillis() {
        return expiresAtMillis;
    }

    int recordBytes() {
        return recordBytes;
    }

    Segment segment() {
        return segment;
    }

    int offset() {
        return offset;
    }

    /** Whether the key has a value, as opposed to having been removed. */
    boolean isPut() {
        return kind == RecordFormat.PUT;
    }

    boolean isExpired(long nowMillis) {
        return expiresAtMillis <= nowMillis;
    }

    /** Whether a newer record of the key is known, so that this one's bytes are dead. */
    boolean isSuperseded() {
        return superseded;
    }

    /** Marks the record as superseded by a newer one of its key. */
    void markSuperseded() {
        superseded = true;
    }

    /** Sets the new offset of the record within its segment after a compaction. */
    void moveTo(int newOffset) {
        offset = newOffset;
    }

    /**
     * Estimated memory of the entry in bytes, which counts towards {@link
     * StoreLimits#maxIndexBytes}.
     */
    int memoryBytes() {
        return Index.ENTRY_OVERHEAD_BYTES + key.length() + metadata.length;
    }
}
