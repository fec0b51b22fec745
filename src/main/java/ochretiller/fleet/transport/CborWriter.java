package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Writes composite CBOR values for several codecs. Stateless. */
public final class CborWriter {
    private CborWriter() {}

    /** Writes one element of a list. */
    @FunctionalInterface
    interface ElementWriter<T> {
        void write(CBORGenerator out, T element) throws IOException;
    }

    /** Writes a definite-length array. */
    static <T> void writeDefiniteLengthList(
            CBORGenerator out, List<T> elements, ElementWriter<T> writer) throws IOException {
        out.writeStartArray(null, elements.size());
        for (T element : elements) {
            writer.write(out, element);
        }
        out.writeEndArray();
    }

    /** Writes an indefinite-length array. */
    static <T> void writeList(CBORGenerator out, Iterable<T> elements, ElementWriter<T> writer)
            throws IOException {
        out.writeStartArray();
        for (T element : elements) {
            writer.write(out, element);
        }
        out.writeEndArray();
    }

    /** Writes integers as a definite-length array. */
    public static void writeLongs(CBORGenerator out, List<Long> numbers) throws IOException {
        writeDefiniteLengthList(out, numbers, CBORGenerator::writeNumber);
    }

    /** Writes a list of name-number pairs in the iteration order of the map. */
    public static void writeNumbersByName(CBORGenerator out, Map<String, Long> numbers)
            throws IOException {
        writeList(out, numbers.entrySet(), CborWriter::writeNamedNumber);
    }

    private static void writeNamedNumber(CBORGenerator out, Map.Entry<String, Long> entry)
            throws IOException {
        out.writeStartArray();
        out.writeString(entry.getKey());
        out.writeNumber(entry.getValue());
        out.writeEndArray();
    }
}
