package ochretiller.jsonrpc;

import java.util.Base64;
import java.util.Map;

/**
 * The validated parameters of an invocation.
 *
 * @param requestId the request id, 16 hex digits
 * @param sentAtMillis when the client sent the request, in Unix milliseconds
 * @param clientId the client's id
 * @param memoryKb the memory to reserve, in KB
 * @param token the idempotency key, 32 hex digits; null if absent
 * @param object the object that is read, 16 hex digits; null if absent
 * @param body the request body, decoded from Base64
 */
record InvocationParams(
        String requestId,
        long sentAtMillis,
        long clientId,
        double memoryKb,
        String token,
        String object,
        byte[] body) {
    private static final int MAX_BODY_BYTES = 2 * 1024;

    /** Upper bound of the memory to reserve, exclusive. */
    private static final double MAX_MEMORY_KB = 2_000;

    private static final int REQUEST_ID_DIGITS = 16;
    private static final int KEY_DIGITS = 32;
    private static final int OBJECT_DIGITS = 16;

    /**
     * Validates the parameters of a message.
     *
     * @throws JsonRpcException if a parameter is missing or invalid
     */
    static InvocationParams parse(Map<String, Object> members) {
        InvocationParams params =
                new InvocationParams(
                        hex(members, "rid", REQUEST_ID_DIGITS),
                        integer(members, "t0", 1),
                        integer(members, "peer", 0),
                        number(members, "mem", MAX_MEMORY_KB),
                        optionalHex(members, "token", KEY_DIGITS),
                        optionalHex(members, "obj", OBJECT_DIGITS),
                        body(members));
        if (params.memoryKb == 0) {
            throw invalid("mem");
        }
        number(members, "prio", 1);
        return params;
    }

    private static JsonRpcException invalid(String name) {
        return new JsonRpcException(JsonRpcException.INVALID_PARAMS, "missing or wrong: " + name);
    }

    private static String hex(Map<String, Object> members, String name, int digits) {
        if (members.get(name) instanceof String text
                && text.length() == digits
                && text.chars().allMatch(InvocationParams::isHexDigit)) {
            return text;
        }
        throw invalid(name);
    }

    /** Used instead of Character.digit, which also accepts digits of other scripts. */
    private static boolean isHexDigit(int c) {
        return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F';
    }

    /** Returns null if the member is absent. */
    private static String optionalHex(Map<String, Object> members, String name, int digits) {
        return members.containsKey(name) ? hex(members, name, digits) : null;
    }

    private static long integer(Map<String, Object> members, String name, long min) {
        if (members.get(name) instanceof Long value && value >= min) {
            return value;
        }
        throw invalid(name);
    }

    /** Returns a number of at least 0 and less than {@code limit}. */
    private static double number(Map<String, Object> members, String name, double limit) {
        if (members.get(name) instanceof Number value
                && value.doubleValue() >= 0
                && value.doubleValue() < limit) {
            return value.doubleValue();
        }
        throw invalid(name);
    }

    private static byte[] body(Map<String, Object> members) {
        if (!(members.get("data") instanceof String text)) {
            throw invalid("data");
        }
        byte[] body;
        try {
            body = Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw invalid("data");
        }
        if (body.length > MAX_BODY_BYTES) {
            throw invalid("data");
        }
        return body;
    }
}
