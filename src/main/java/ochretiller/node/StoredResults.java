package ochretiller.node;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import ochretiller.metrics.Metrics;
import ochretiller.store.Store;

/**
 * Results as values of the store: one byte for the format, which is 0, and the result. Event loop
 * thread only.
 */
final class StoredResults {
    private static final int HEADER_BYTES = 1;

    private final Store store;
    private final Metrics.Counter readBack;

    /**
     * Creates a reader.
     *
     * @param readBack counts results that were read
     */
    StoredResults(Store store, Metrics.Counter readBack) {
        this.store = store;
        this.readBack = readBack;
    }

    static byte[] encode(byte[] result) {
        byte[] value = new byte[HEADER_BYTES + result.length];
        System.arraycopy(result, 0, value, HEADER_BYTES, result.length);
        return value;
    }

    /**
     * Reads the result under an idempotency key and hands it over later; empty if there is none.
     */
    void read(String token, Consumer<Optional<byte[]>> onRead) {
        store.read(
                token.getBytes(StandardCharsets.UTF_8),
                value -> onRead.accept(value.flatMap(this::decode)));
    }

    private Optional<byte[]> decode(byte[] value) {
        if (value.length < HEADER_BYTES) {
            return Optional.empty();
        }
        readBack.add();
        return Optional.of(Arrays.copyOfRange(value, HEADER_BYTES, value.length));
    }
}
