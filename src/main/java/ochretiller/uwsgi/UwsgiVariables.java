package ochretiller.uwsgi;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import ochretiller.text.Slice;

/**
 * The block of variables: each a name and a value, both with a 16-bit little-endian length before
 * them.
 */
final class UwsgiVariables {
    /** Longest block, as its length has 16 bits. */
    static final int LONGEST = 65_535;

    /**
     * Variables of one block: guards against a map that costs a hundred times the bytes that fill
     * it.
     */
    private static final int MOST = 512;

    private UwsgiVariables() {}

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
     * Headers that come more than once are one list; of anything else two differing values are two
     * requests in one.
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

    /**
     * Bytes as they are, one char each; those that end lines or texts elsewhere would make two of
     * one.
     */
    private static String text(byte[] bytes, int from, int length) {
        for (int i = from; i < from + length; i++) {
            if (bytes[i] == 0 || bytes[i] == '\r' || bytes[i] == '\n') {
                throw new UwsgiException(400, "a control character among the variables");
            }
        }
        return new String(bytes, from, length, StandardCharsets.ISO_8859_1);
    }

    /** The block with its header of four bytes. */
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
