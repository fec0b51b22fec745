package ochretiller.uwsgi;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import ochretiller.text.Slice;

/**
 * Codec of the block of variables: names and values, each preceded by its length as a 16-bit
 * little-endian number.
 */
final class UwsgiVariables {
    /** Maximum size of a block, whose length is a 16-bit number. */
    static final int MAX_BLOCK_BYTES = 65_535;

    /** Maximum variables of a block: a map of short ones takes a hundred times their size. */
    private static final int MAX_VARIABLES = 512;

    /** Memory of a variable beside the chars of its name and value, in bytes. */
    private static final int VARIABLE_OVERHEAD_BYTES = 160;

    private UwsgiVariables() {}

    /** Returns the memory that variables take, in bytes. */
    static long heldBytes(Map<String, String> vars) {
        long bytes = 0;
        for (Map.Entry<String, String> variable : vars.entrySet()) {
            bytes +=
                    VARIABLE_OVERHEAD_BYTES
                            + variable.getKey().length()
                            + variable.getValue().length();
        }
        return bytes;
    }

    /**
     * Decodes a block without its header.
     *
     * @throws UwsgiException if the block is malformed
     */
    static Map<String, String> decode(Slice block) {
        Map<String, String> vars = new LinkedHashMap<>();
        byte[] bytes = block.bytes();
        int offset = block.from();
        while (offset < block.to()) {
            int nameLength = readLength(bytes, offset, block.to(), "name");
            int valueLength = readLength(bytes, offset + 2 + nameLength, block.to(), "value");
            String name = readText(bytes, offset + 2, nameLength);
            if (name.isEmpty()) {
                throw new UwsgiException(400, "a variable without a name");
            }
            put(vars, name, readText(bytes, offset + 4 + nameLength, valueLength));
            if (vars.size() > MAX_VARIABLES) {
                throw new UwsgiException(400, "over " + MAX_VARIABLES + " variables");
            }
            offset += 4 + nameLength + valueLength;
        }
        return vars;
    }

    /**
     * Adds a variable. Repeated headers are joined into a list, as in HTTP. Any other variable with
     * two values is rejected, since it may be an attempt to smuggle a request past a proxy.
     */
    private static void put(Map<String, String> vars, String name, String value) {
        String previous = vars.put(name, value);
        if (previous == null || previous.equals(value)) {
            return;
        }
        if (!name.startsWith("HTTP_")) {
            throw new UwsgiException(400, "two values of " + name);
        }
        vars.put(name, previous + ", " + value);
    }

    private static int readLength(byte[] bytes, int offset, int end, String field) {
        if (offset + 2 > end) {
            throw new UwsgiException(400, "the variables end before the length of a " + field);
        }
        int length = bytes[offset] & 0xFF | (bytes[offset + 1] & 0xFF) << 8;
        if (offset + 2 + length > end) {
            throw new UwsgiException(
                    400, "a " + field + " of " + length + " bytes overruns the variables");
        }
        return length;
    }

    /** Decodes one char per byte; rejects NUL and line breaks, which could end a line or text. */
    private static String readText(byte[] bytes, int from, int length) {
        for (int i = from; i < from + length; i++) {
            if (bytes[i] == 0 || bytes[i] == '\r' || bytes[i] == '\n') {
                throw new UwsgiException(400, "a control character among the variables");
            }
        }
        return new String(bytes, from, length, StandardCharsets.ISO_8859_1);
    }

    /**
     * Encodes a block with its header of four bytes.
     *
     * @throws UwsgiException if the variables do not fit one block
     */
    static byte[] encode(Map<String, String> vars) {
        int size = 0;
        for (Map.Entry<String, String> variable : vars.entrySet()) {
            size += 4 + variable.getKey().length() + variable.getValue().length();
        }
        if (size > MAX_BLOCK_BYTES) {
            throw new UwsgiException(
                    0,
                    "variables of "
                            + size
                            + " bytes exceed the limit of "
                            + MAX_BLOCK_BYTES
                            + " bytes");
        }
        byte[] out = new byte[4 + size];
        out[1] = (byte) size;
        out[2] = (byte) (size >> 8);
        int offset = 4;
        for (Map.Entry<String, String> variable : vars.entrySet()) {
            offset = writeText(out, offset, variable.getKey());
            offset = writeText(out, offset, variable.getValue());
        }
        return out;
    }

    private static int writeText(byte[] out, int offset, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        out[offset] = (byte) bytes.length;
        out[offset + 1] = (byte) (bytes.length >> 8);
        System.arraycopy(bytes, 0, out, offset + 2, bytes.length);
        return offset + 2 + bytes.length;
    }
}
