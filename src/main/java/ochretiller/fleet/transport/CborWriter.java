package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Writes the composite values that several codecs share. Stateless. */
public final class CborWriter {
    private CborWriter() {}

    /** Writes one element of a list. */
    @FunctionalInterface
    interface ElementWriter<T> {
        void write(CBORGenerator out, T element) throws IOException;
    }

    /** Writes an array that is preceded by its length. */
    static <T> void writeSizedList(CBORGenerator out, List<T> elements, ElementWriter<T> writer)
            throws IOException {
        out.writeStartArray(null, elements.size());
        for (T element : elements) {
            writer.write(out, element);
        }
        out.writeEndArray();
    }

    /** Writes an array of indefinite length. */
    static <T> void writeList(CBORGenerator out, Iterable<T> elements, ElementWriter<T> writer)
            throws IOException {
        out.writeStartArray();
        for (T element : elements) {
            writer.write(out, element);
        }
        out.writeEndArray();
    }

    /** Writes a list of integers, preceded by its length. */
    public static void writeLongs(CBORGenerator out, List<Long> numbers) throws IOException {
        writeSizedList(out, numbers, CBORGenerator::writeNumber);
    }

    /** Writes a list of pairs of a name and a number, in the order of the map. */
    public static void writeNumbersByName(CBORGenerator out, Map<String, Long> numbers)
            throws IOException {
        writeList(out, numbers.entrySet(), CborWriter::writeNamedNumber);
    }

    private static void writeNamedNumber(CBORGenerator out, Map.Entry<String, Long> named)
            throws IOException {
        out.writeStartArray();
        out.writeString(named.getKey());
        out.writeNumber(named.getValue());
        out.writeEndArray();
    }
}
