package ochretiller.jsonrpc;

import java.util.Base64;
import java.util.Map;

/**
 * The validated parameters of an invocation.
 *
 * @param rid the request id, 16 hex digits
 * @param t0 when the client sent it, in Unix milliseconds
 * @param caller identifies the client
 * @param kb memory to reserve, in KB
 * @param token the idempotency key, 32 hex digits; null where there is none
 * @param object the object that a read is about, 16 hex digits; null where there is none
 * @param body the request body, decoded from Base64
 */
record InvocationParams(
        String rid, long t0, long caller, double kb, String token, String object, byte[] body) {
    private static final int LONGEST_BODY = 2 * 1024;
    private static final double MOST_KB = 2_000;
    private static final int REQUEST_ID_DIGITS = 16;
    private static final int KEY_DIGITS = 32;
    private static final int OBJECT_DIGITS = 16;

    /**
     * Validates the parameters of a message.
     *
     * @throws JsonRpcException where one is missing or wrong
     */
    static InvocationParams of(Map<String, Object> members) {
        InvocationParams params =
                new InvocationParams(
                        hex(members, "rid", REQUEST_ID_DIGITS),
                        whole(members, "t0", 1),
                        whole(members, "peer", 0),
                        number(members, "mem", MOST_KB),
                        optionalHex(members, "token", KEY_DIGITS),
                        optionalHex(members, "obj", OBJECT_DIGITS),
                        body(members));
        if (params.kb == 0) {
            throw wrong("mem");
        }
        number(members, "prio", 1);
        return params;
    }

    private static JsonRpcException wrong(String name) {
        return new JsonRpcException(JsonRpcException.PARAMS, "missing or wrong: " + name);
    }

    private static String hex(Map<String, Object> members, String name, int digits) {
        if (members.get(name) instanceof String text
                && text.length() == digits
                && text.chars().allMatch(InvocationParams::isHexDigit)) {
            return text;
        }
        throw wrong(name);
    }

    /** Character.digit would take digits of other scripts, too. */
    private static boolean isHexDigit(int c) {
        return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F';
    }

    /** Null where there is no such member. */
    private static String optionalHex(Map<String, Object> members, String name, int digits) {
        return members.containsKey(name) ? hex(members, name, digits) : null;
    }

    private static long whole(Map<String, Object> members, String name, long least) {
        if (members.get(name) instanceof Long value && value >= least) {
            return value;
        }
        throw wrong(name);
    }

    /** A number from 0 to below {@code bound}. */
    private static double number(Map<String, Object> members, String name, double bound) {
        if (members.get(name) instanceof Number value
                && value.doubleValue() >= 0
                && value.doubleValue() < bound) {
            return value.doubleValue();
        }
        throw wrong(name);
    }

    private static byte[] body(Map<String, Object> members) {
        if (!(members.get("data") instanceof String text)) {
            throw wrong("data");
        }
        byte[] body;
        try {
            body = Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw wrong("data");
        }
        if (body.length > LONGEST_BODY) {
            throw wrong("data");
        }
        return body;
    }
}
