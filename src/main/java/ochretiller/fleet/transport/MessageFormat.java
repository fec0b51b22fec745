package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;

/**
 * Format of the body of one message type: a CBOR array of fields in a fixed order.
 *
 * @param kind number of the type in the envelope
 * @param fieldCount number of fields written, or {@link #INDEFINITE} for an indefinite-length array
 */
record MessageFormat<T>(
        int kind, Class<T> type, int fieldCount, Encoder<T> encoder, Decoder<T> decoder) {
    private static final int INDEFINITE = -1;

    /** Writes the fields of a message. */
    @FunctionalInterface
    interface Encoder<T> {
        void encode(CBORGenerator out, T message) throws IOException;
    }

    /** Reads the fields that the encoder has written. */
    @FunctionalInterface
    interface Decoder<T> {
        T decode(CborReader in) throws IOException;
    }

    /** Returns a format whose body is an indefinite-length array. */
    static <T> MessageFormat<T> ofIndefiniteLength(
            int kind, Class<T> type, Encoder<T> encoder, Decoder<T> decoder) {
        return new MessageFormat<>(kind, type, INDEFINITE, encoder, decoder);
    }

    /** Returns a format whose body is a definite-length array. */
    static <T> MessageFormat<T> ofDefiniteLength(
            int kind, Class<T> type, int fieldCount, Encoder<T> encoder, Decoder<T> decoder) {
        return new MessageFormat<>(kind, type, fieldCount, encoder, decoder);
    }

    void write(CBORGenerator out, Object message) throws IOException {
        if (fieldCount == INDEFINITE) {
            out.writeStartArray();
        } else {
            out.writeStartArray(null, fieldCount);
        }
        encoder.encode(out, type.cast(message));
        out.writeEndArray();
    }

    T read(CborReader in) throws IOException {
        in.readStartArray();
        return decoder.decode(in);
    }
}
