package ochretiller.jsonrpc;

import java.util.Base64;
import java.util.Map;

/** The parameters of an invocation, each checked against its page. */
record InvocationParams(
        String rid, long t0, long caller, double kb, String token, String object, byte[] body) {
    private static final int LONGEST_BODY = 2 * 1024;
    private static final double MOST_KB = 2_000;

    static InvocationParams of(Map<String, Object> members) {
        InvocationParams params =
                new InvocationParams(
                        hex(members, "rid", 16),
                        whole(members, "t0", 1),
                        whole(members, "peer", 0),
                        number(members, "mem", MOST_KB),
                        optionalHex(members, "token", 32),
                        optionalHex(members, "obj", 16),
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
                && text.chars()
                        .allMatch(
                                c ->
                                        c >= '0' && c <= '9'
                                                || c >= 'a' && c <= 'f'
                                                || c >= 'A' && c <= 'F')) {
            return text;
        }
        throw wrong(name);
    }

    private static String optionalHex(Map<String, Object> members, String name, int digits) {
        return members.containsKey(name) ? hex(members, name, digits) : null;
    }

    private static long whole(Map<String, Object> members, String name, long least) {
        if (members.get(name) instanceof Long value && value >= least) {
            return value;
        }
        throw wrong(name);
    }

    /** A figure from 0 to under {@code bound}. */
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
