package ochretiller.text;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON parser (RFC 8259) that returns maps, lists, strings, Long for integers of at most 18
 * characters, Double for other numbers, Boolean and {@link #NULL}. One instance parses one text.
 */
public final class Json {
    /** Represents a JSON null, which differs from an absent member. */
    public static final Object NULL =
            new Object() {
                @Override
                public String toString() {
                    return "null";
                }
            };

    /** Maximum nesting depth; parsing a level takes several stack frames. */
    private static final int MAX_DEPTH = 32;

    private final byte[] bytes;
    private final int end;
    private int at;
    private int depth;

    /** The completely parsed members of the outermost object. */
    private final Map<String, Object> members = new LinkedHashMap<>();

    /** Creates a parser for a text in UTF-8. */
    public Json(Slice text) {
        bytes = text.bytes();
        at = text.from();
        end = text.to();
    }

    /**
     * Parses the text, which must consist of exactly one value.
     *
     * @throws BadInputException if the text is malformed
     */
    public Object parse() {
        Object value = parseValue();
        skipBlanks();
        if (at < end) {
            throw malformed("more behind the value");
        }
        return value;
    }

    /** Returns the outermost object's members parsed so far, even if {@link #parse} has failed. */
    public Map<String, Object> members() {
        return members;
    }

    private BadInputException malformed(String problem) {
        return new BadInputException(problem + " at byte " + at);
    }

    private void skipBlanks() {
        while (at < end
                && (bytes[at] == ' '
                        || bytes[at] == '\t'
                        || bytes[at] == '\r'
                        || bytes[at] == '\n')) {
            at++;
        }
    }

    private int peek() {
        skipBlanks();
        return at < end ? bytes[at] : 0;
    }

    private void expect(char expected) {
        if (peek() != expected) {
            throw malformed("no '" + expected + "'");
        }
        at++;
    }

    private Object parseValue() {
        switch (peek()) {
            case '{':
                return parseObject();
            case '[':
                return parseList();
            case '"':
                return parseString();
            case 't':
                return parseLiteral("true", Boolean.TRUE);
            case 'f':
                return parseLiteral("false", Boolean.FALSE);
            case 'n':
                return parseLiteral("null", NULL);
            default:
                return parseNumber();
        }
    }

    private Object parseLiteral(String word, Object value) {
        for (int i = 0; i < word.length(); i++, at++) {
            if (at >= end || bytes[at] != word.charAt(i)) {
                throw malformed("unknown word");
            }
        }
        return value;
    }

    private void enter() {
        if (++depth > MAX_DEPTH) {
            throw malformed("nested too deep");
        }
        at++;
    }

    private void leave() {
        depth--;
        at++;
    }

    private Map<String, Object> parseObject() {
        Map<String, Object> object = depth == 0 ? members : new LinkedHashMap<>();
        enter();
        for (boolean first = true; peek() != '}'; first = false) {
            if (!first) {
                expect(',');
            }
            if (peek() != '"') {
                throw malformed("no name");
            }
            String name = parseString();
            expect(':');
            object.put(name, parseValue());
        }
        leave();
        return object;
    }

    private List<Object> parseList() {
        List<Object> list = new ArrayList<>();
        enter();
        for (boolean first = true; peek() != ']'; first = false) {
            if (!first) {
                expect(',');
            }
            list.add(parseValue());
        }
        leave();
        return list;
    }

    private String parseString() {
        int from = ++at;
        boolean isPlainAscii = true;
        while (at < end && bytes[at] != '"') {
            if (bytes[at] >= 0 && bytes[at] < ' ') {
                throw malformed("a control character in a string");
            }
            isPlainAscii &= bytes[at] > 0 && bytes[at] != '\\';
            at += bytes[at] == '\\' ? 2 : 1;
        }
        if (at >= end) {
            throw malformed("a string without its end");
        }
        String text =
                isPlainAscii
                        ? new String(bytes, from, at - from, StandardCharsets.ISO_8859_1)
                        : decodeString(from);
        at++;
        return text;
    }

    private String decodeString(int from) {
        String raw;
        try {
            raw =
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .onMalformedInput(CodingErrorAction.REPORT)
                            .decode(ByteBuffer.wrap(bytes, from, at - from))
                            .toString();
        } catch (CharacterCodingException e) {
            throw malformed("a string that is not UTF-8");
        }
        if (raw.indexOf('\\') < 0) {
            return raw;
        }
        StringBuilder out = new StringBuilder(raw.length());
        for (int i = 0; i < raw.length(); i++) {
            char c = raw.charAt(i);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escape = raw.charAt(++i);
            int index = "\"\\/bfnrt".indexOf(escape);
            if (index >= 0) {
                out.append("\"\\/\b\f\n\r\t".charAt(index));
            } else if (escape == 'u'
                    && raw.length() >= i + 5
                    && raw.substring(i + 1, i + 5).matches("[0-9a-fA-F]+")) {
                out.append((char) Integer.parseInt(raw.substring(i + 1, i + 5), 16));
                i += 4;
            } else {
                throw malformed("unknown escape");
            }
        }
        return out.toString();
    }

    private boolean skipDigits() {
        int from = at;
        while (at < end && bytes[at] >= '0' && bytes[at] <= '9') {
            at++;
        }
        return at > from;
    }

    private Object parseNumber() {
        int from = at;
        if (at < end && bytes[at] == '-') {
            at++;
        }
        int first = at;
        if (!skipDigits() || bytes[first] == '0' && at > first + 1) {
            throw malformed("no value");
        }
        boolean isInteger = true;
        if (at < end && bytes[at] == '.') {
            at++;
            isInteger = false;
            if (!skipDigits()) {
                throw malformed("no digits");
            }
        }
        if (at < end && (bytes[at] == 'e' || bytes[at] == 'E')) {
            at++;
            isInteger = false;
            if (at < end && (bytes[at] == '+' || bytes[at] == '-')) {
                at++;
            }
            if (!skipDigits()) {
                throw malformed("no digits");
            }
        }
        String text = new String(bytes, from, at - from, StandardCharsets.ISO_8859_1);
        return isInteger && text.length() < 19
                ? (Object) Long.valueOf(text)
                : (Object) Double.valueOf(text);
    }
}
