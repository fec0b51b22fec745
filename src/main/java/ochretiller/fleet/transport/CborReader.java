package ochretiller.fleet.transport;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads CBOR (RFC 8949) strictly by position: each method consumes the next element and throws
 * {@link IllegalArgumentException} if it has another type. {@link #readEndArray()} skips elements
 * that a newer version has appended to an array.
 *
 * <p>Not thread-safe; used for one packet or file.
 */
public final class CborReader implements AutoCloseable {
    /** Maximum number of elements in a list; bounds the memory that a packet can occupy. */
    static final int MAX_LIST_ELEMENTS = 256;

    private static final CBORFactory FACTORY = new CBORFactory();

    private final CBORParser parser;

    private CborReader(CBORParser parser) {
        this.parser = parser;
    }

    /** Returns a reader of {@code length} bytes, starting at {@code offset}. */
    public static CborReader of(byte[] bytes, int offset, int length) throws IOException {
        return new CborReader(FACTORY.createParser(bytes, offset, length));
    }

    /** Reads one element of a list, after its first token has been consumed. */
    @FunctionalInterface
    public interface ElementReader<T> {
        /** Reads the rest of the element and returns it. */
        T read() throws IOException;
    }

    /** Consumes the start of an array. */
    public void readStartArray() throws IOException {
        if (parser.nextToken() != JsonToken.START_ARRAY) {
            throw new IllegalArgumentException("expected an array");
        }
    }

    /** Consumes the end of an array and skips any elements before it. */
    public void readEndArray() throws IOException {
        JsonToken token = parser.nextToken();
        while (token != JsonToken.END_ARRAY) {
            if (token == null) {
                throw new IllegalArgumentException("array has no end");
            }
            parser.skipChildren();
            token = parser.nextToken();
        }
    }

    /** Reads a text string. */
    public String readText() throws IOException {
        if (parser.nextToken() != JsonToken.VALUE_STRING) {
            throw new IllegalArgumentException("expected a text string");
        }
        return parser.getText();
    }

    /** Reads an integer of up to 64 bits. */
    public long readLong() throws IOException {
        if (parser.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IllegalArgumentException("expected an integer");
        }
        return parser.getLongValue();
    }

    /**
     * Reads a 32-bit integer.
     *
     * @throws IllegalArgumentException if the value is out of range, as for any malformed element
     */
    public int readInt() throws IOException {
        long value = readLong();
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("integer does not fit in 32 bits: " + value);
        }
        return (int) value;
    }

    /**
     * Reads a constant that is encoded as its position in a list.
     *
     * @param values constants in the order of their numbers on the wire
     */
    public <E> E readConstant(List<E> values) throws IOException {
        long position = readLong();
        if (position < 0 || position >= values.size()) {
            throw new IllegalArgumentException("unknown constant number: " + position);
        }
        return values.get((int) position);
    }

    /** Reads an integer or a floating-point number. */
    public double readDouble() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == null || !token.isNumeric()) {
            throw new IllegalArgumentException("expected a number, found " + token);
        }
        return parser.getDoubleValue();
    }

    /** Reads a boolean. */
    public boolean readBoolean() throws IOException {
        JsonToken token = parser.nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new IllegalArgumentException("expected a boolean, found " + token);
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads a byte string. */
    public byte[] readBytes() throws IOException {
        if (parser.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IllegalArgumentException("expected a byte string");
        }
        return parser.getBinaryValue();
    }

    /** Reads a list of at most {@value #MAX_LIST_ELEMENTS} elements. */
    public <T> List<T> readList(ElementReader<T> elementReader) throws IOException {
        List<T> elements = new ArrayList<>();
        readStartArray();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() == null) {
                throw new IllegalArgumentException("list has no end");
            }
            if (elements.size() == MAX_LIST_ELEMENTS) {
                throw new IllegalArgumentException(
                        "list has more than " + MAX_LIST_ELEMENTS + " elements");
            }
            elements.add(elementReader.read());
        }
        return elements;
    }

    /** Reads a list of 64-bit integers. */
    public List<Long> readLongs() throws IOException {
        return readList(parser::getLongValue);
    }

    /** Reads a list of 32-bit integers. */
    public List<Integer> readInts() throws IOException {
        return readList(parser::getIntValue);
    }

    /** Reads a list of text strings. */
    public List<String> readTexts() throws IOException {
        return readList(parser::getText);
    }

    /** Reads a list of name-number pairs into a map sorted by name. */
    public Map<String, Long> readNumbersByName() throws IOException {
        Map<String, Long> numbers = new TreeMap<>();
        readList(
                () -> {
                    String name = readText();
                    numbers.put(name, readLong());
                    readEndArray();
                    return name;
                });
        return numbers;
    }

    /** Consumes the next token and returns whether it ends the array. */
    boolean nextTokenEndsArray() throws IOException {
        return parser.nextToken() == JsonToken.END_ARRAY;
    }

    /** Returns the integer whose token {@link #nextTokenEndsArray()} has consumed. */
    long currentLong() throws IOException {
        return parser.getLongValue();
    }

    @Override
    public void close() throws IOException {
        parser.close();
    }
}
