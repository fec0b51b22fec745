package ochretiller.uwsgi;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import ochretiller.text.Slice;

/**
 * Codec of the block of variables: names and values, each after its length in 16 bits,
 * little-endian.
 */
final class UwsgiVariables {
    /** Bytes of the longest block, whose length has 16 bits. */
    static final int LONGEST = 65_535;

    /** Most variables of a block: as a map, short ones take a hundred times their bytes. */
    private static final int MOST = 512;

    private UwsgiVariables() {}

    /**
     * Decodes a block without its header.
     *
     * @throws UwsgiException where it is malformed
     */
    static Map<String, String> read(Slice block) {
        Map<String, String> vars = new LinkedHashMap<>();
        byte[] bytes = block.bytes();
        int at = block.from();
        while (at < block.to()) {
            int name = length(bytes, at, block.to(), "name");
            int value = length(bytes, at + 2 + name, block.to(), "value");
            String key = text(bytes, at + 2, name);
            if (key.isEmpty()) {
                throw new UwsgiException(400, "a variable without a name");
            }
            put(vars, key, text(bytes, at + 4 + name, value));
            if (vars.size() > MOST) {
                throw new UwsgiException(400, "over " + MOST + " variables");
            }
            at += 4 + name + value;
        }
        return vars;
    }

    /**
     * Repeated headers are joined into a list, as in HTTP. Any other variable with two values is
     * ambiguous, which can be an attempt to smuggle a request past a proxy.
     */
    private static void put(Map<String, String> vars, String name, String value) {
        String before = vars.put(name, value);
        if (before == null || before.equals(value)) {
            return;
        }
        if (!name.startsWith("HTTP_")) {
            throw new UwsgiException(400, "two values of " + name);
        }
        vars.put(name, before + ", " + value);
    }

    private static int length(byte[] bytes, int at, int end, String what) {
        if (at + 2 > end) {
            throw new UwsgiException(400, "the variables end before the length of a " + what);
        }
        int length = bytes[at] & 0xFF | (bytes[at + 1] & 0xFF) << 8;
        if (at + 2 + length > end) {
            throw new UwsgiException(
                    400, "a " + what + " of " + length + " bytes overruns the variables");
        }
        return length;
    }

    /** One char for each byte; control characters could end a line or a text further on. */
    private static String text(byte[] bytes, int from, int length) {
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
     * @throws UwsgiException where the variables are too long for one block
     */
    static byte[] write(Map<String, String> vars) {
        int size = 0;
        for (Map.Entry<String, String> each : vars.entrySet()) {
            size += 4 + each.getKey().length() + each.getValue().length();
        }
        if (size > LONGEST) {
            throw new UwsgiException(0, "variables of " + size + " bytes");
        }
        byte[] out = new byte[4 + size];
        out[1] = (byte) size;
        out[2] = (byte) (size >> 8);
        int at = 4;
        for (Map.Entry<String, String> each : vars.entrySet()) {
            at = write(out, at, each.getKey());
            at = write(out, at, each.getValue());
        }
        return out;
    }

    private static int write(byte[] out, int at, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        out[at] = (byte) bytes.length;
        out[at + 1] = (byte) (bytes.length >> 8);
        System.arraycopy(bytes, 0, out, at + 2, bytes.length);
        return at + 2 + bytes.length;
    }
}
