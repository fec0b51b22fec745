package ochretiller.fleet.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Integers from peers: those that do not fit are reported as malformed content. */
class CborReaderTest {
    private static CborReader readerOf(long value) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator generator = new CBORFactory().createGenerator(out)) {
            generator.writeNumber(value);
        }
        byte[] bytes = out.toByteArray();
        return CborReader.of(bytes, 0, bytes.length);
    }

    @Test
    void largest32BitIntegerIsRead() throws IOException {
        try (CborReader reader = readerOf(Integer.MAX_VALUE)) {
            assertThat(reader.readInt()).isEqualTo(Integer.MAX_VALUE);
        }
    }

    /** PacketCodec catches this exception; any other would end the reader thread. */
    @Test
    void integerBeyond32BitsIsRejected() throws IOException {
        try (CborReader reader = readerOf(1L + Integer.MAX_VALUE)) {
            assertThatThrownBy(reader::readInt)
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("2147483648");
        }
    }
}
