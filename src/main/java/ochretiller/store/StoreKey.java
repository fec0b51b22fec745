package ochretiller.store;

import java.util.Arrays;

/** A key's bytes with value semantics, for use in a map. Immutable if the array is not modified. */
final class StoreKey {
    private final byte[] bytes;
    private final int hash;

    /**
     * Wraps the bytes without copying them.
     *
     * @param bytes at most {@link RecordFormat#MAX_KEY_BYTES}
     */
    StoreKey(byte[] bytes) {
        this.bytes = bytes;
        this.hash = Arrays.hashCode(bytes);
    }

    byte[] bytes() {
        return bytes;
    }

    int length() {
        return bytes.length;
    }

    boolean startsWith(byte first) {
        return bytes.length > 0 && bytes[0] == first;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoreKey key && key.hash == hash && Arrays.equals(key.bytes, bytes);
    }

    @Override
    public int hashCode() {
        return hash;
    }
}
