package ochretiller.store;

import java.util.Arrays;

/** Bytes as a key of the index. */
final class StoreKey {
    final byte[] bytes;
    private final int hash;

    StoreKey(byte[] bytes) {
        this.bytes = bytes;
        this.hash = Arrays.hashCode(bytes);
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
