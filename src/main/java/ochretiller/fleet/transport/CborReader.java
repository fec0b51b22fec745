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
 * Reads CBOR (RFC 8949) strictly by position: each method takes the next element and throws {@link
 * IllegalArgumentException} if that is of another type. Elements that a newer program has added at
 * the end of an array are skipped by {@link #readEndArray()}.
 *
 * <p>Not thread-safe; one reader belongs to one packet or file.
 */
public final class CborReader implements AutoCloseable {
    /** Most elements of one list; guards the memory against a list of any length. */
    static final int MAX_LIST_ELEMENTS = 256;

    private static final CBORFactory FACTORY = new CBORFactory();

    private final CBORParser parser;

    private CborReader(CBORParser parser) {
        this.parser = parser;
    }

    /** Returns a reader of a part of an array. */
    public static CborReader of(byte[] bytes, int offset, int length) throws IOException {
        return new CborReader(FACTORY.createParser(bytes, offset, length));
    }

    /** Reads one element of a list, whose first token has been taken already. */
    @FunctionalInterface
    public interface ElementReader<T> {
        /** Returns the element. */
        T read() throws IOException;
    }

    /** Takes the start of an array. */
    public void readStartArray() throws IOException {
        if (parser.nextToken() != JsonToken.START_ARRAY) {
            throw new IllegalArgumentException("an array is expected");
        }
    }

    /** Takes the end of an array, and any elements before it that are not known here. */
    public void readEndArray() throws IOException {
        JsonToken token = parser.nextToken();
        while (token != JsonToken.END_ARRAY) {
            if (token == null) {
                throw new IllegalArgumentException("an array has no end");
            }
            parser.skipChildren();
            token = parser.nextToken();
        }
    }

    /** Reads a text. */
    public String readText() throws IOException {
        if (parser.nextToken() != JsonToken.VALUE_STRING) {
            throw new IllegalArgumentException("a text is expected");
        }
        return parser.getText();
    }

    /** Reads an integer of up to 64 bits. */
    public long readLong() throws IOException {
        if (parser.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IllegalArgumentException("an integer is expected");
        }
        return parser.getLongValue();
    }

    /**
     * Reads an integer of 32 bits.
     *
     * @throws IllegalArgumentException if it is out of range, as for all that a peer cannot mean
     */
    public int readInt() throws IOException {
        long value = readLong();
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("not an integer of 32 bits: " + value);
        }
        return (int) value;
    }

    /**
     * Reads an integer that is the position of a constant.
     *
     * @param values the constants in the order of the protocol
     */
    public <E> E readConstant(List<E> values) throws IOException {
        long position = readLong();
        if (position < 0 || position >= values.size()) {
            throw new IllegalArgumentException("no constant has the number " + position);
        }
        return values.get((int) position);
    }

    /** Reads a number of any type as a floating-point number. */
    public double readDouble() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == null || !token.isNumeric()) {
            throw new IllegalArgumentException("a number is expected");
        }
        return parser.getDoubleValue();
    }

    /** Reads a boolean. */
    public boolean readBoolean() throws IOException {
        JsonToken token = parser.nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new IllegalArgumentException("a boolean is expected");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads a byte string. */
    public byte[] readBytes() throws IOException {
        if (parser.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IllegalArgumentException("a byte string is expected");
        }
        return parser.getBinaryValue();
    }

    /** Reads a list of at most {@value #MAX_LIST_ELEMENTS} elements. */
    public <T> List<T> readList(ElementReader<T> element) throws IOException {
        List<T> elements = new ArrayList<>();
        readStartArray();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() == null) {
                throw new IllegalArgumentException("a list has no end");
            }
            if (elements.size() == MAX_LIST_ELEMENTS) {
                throw new IllegalArgumentException("a list is too long");
            }
            elements.add(element.read());
        }
        return elements;
    }

    /** Reads a list of integers. */
    public List<Long> readLongs() throws IOException {
        return readList(parser::getLongValue);
    }

    /** Reads a list of integers of 32 bits. */
    public List<Integer> readInts() throws IOException {
        return readList(parser::getIntValue);
    }

    /** Reads a list of texts. */
    public List<String> readTexts() throws IOException {
        return readList(parser::getText);
    }

    /** Reads a list of pairs of a name and a number, sorted by name. */
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

    /** Takes the next token and returns whether it ends the array. */
    boolean readIsEndOfArray() throws IOException {
        return parser.nextToken() == JsonToken.END_ARRAY;
    }

    /** Returns the integer whose token has been taken by {@link #readIsEndOfArray()}. */
    long currentLong() throws IOException {
        return parser.getLongValue();
    }

    @Override
    public void close() throws IOException {
        parser.close();
    }
}
