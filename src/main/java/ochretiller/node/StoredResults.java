package ochretiller.node;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import ochretiller.metrics.Metrics;
import ochretiller.store.Store;

/**
 * Encodes and reads results as values of the store: a format byte, which is 0, and the result.
 * Event loop thread only.
 */
final class StoredResults {
    private static final int HEADER_BYTES = 1;

    private final Store store;
    private final Metrics.Counter readCounter;

    /**
     * Creates a reader.
     *
     * @param readCounter counts the results that were read
     */
    StoredResults(Store store, Metrics.Counter readCounter) {
        this.store = store;
        this.readCounter = readCounter;
    }

    static byte[] encode(byte[] result) {
        byte[] value = new byte[HEADER_BYTES + result.length];
        System.arraycopy(result, 0, value, HEADER_BYTES, result.length);
        return value;
    }

    /** Reads the result stored under a key and passes it on later; empty if there is none. */
    void read(String token, Consumer<Optional<byte[]>> onRead) {
        store.read(
                token.getBytes(StandardCharsets.UTF_8),
                value -> onRead.accept(value.flatMap(this::decode)));
    }

    private Optional<byte[]> decode(byte[] value) {
        if (value.length < HEADER_BYTES) {
            return Optional.empty();
        }
        readCounter.add();
        return Optional.of(Arrays.copyOfRange(value, HEADER_BYTES, value.length));
    }
}
