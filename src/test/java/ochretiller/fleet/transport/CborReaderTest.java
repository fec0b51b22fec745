package ochretiller.fleet.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Values that a peer sends, and how those that cannot be are told. */
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
    void anIntegerOf32BitsIsRead() throws IOException {
        try (CborReader reader = readerOf(Integer.MAX_VALUE)) {
            assertThat(reader.readInt()).isEqualTo(Integer.MAX_VALUE);
        }
    }

    /** The packet's decoder knows this exception; another one would end the thread that reads. */
    @Test
    void anIntegerBeyond32BitsIsMalformed() throws IOException {
        try (CborReader reader = readerOf(1L + Integer.MAX_VALUE)) {
            assertThatThrownBy(reader::readInt)
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("2147483648");
        }
    }
}
