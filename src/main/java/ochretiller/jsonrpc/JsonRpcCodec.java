package ochretiller.jsonrpc;

import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import ochretiller.text.BadInputException;
import ochretiller.text.Json;
import ochretiller.text.Slice;

/** JSON-RPC 2.0, one message a line: reading what gateways send and writing what they are told. */
final class JsonRpcCodec {
    /** Error codes of answers: turned away before it ran, and failed. */
    static final int THROTTLED = -32014;

    static final int FAILED = -32000;
    static final String SHUTDOWN = "{\"jsonrpc\":\"2.0\",\"method\":\"shutdown\"}\n";

    private JsonRpcCodec() {}

    /**
     * The id of a message, or null where it has none; {@code fault} is what is wrong with the rest.
     */
    record Message(Long id, String method, Map<String, Object> params, JsonRpcException fault) {}

    /** Reads one line; only what has no readable id is bad input for the connection. */
    static Message read(Slice line) {
        Json json = new Json(line);
        Long id = null;
        try {
            Object value = json.read();
            if (!(value instanceof Map)) {
                throw new BadInputException("no JSON-RPC object");
            }
            id = id(json);
            return message(id, json.members());
        } catch (BadInputException e) {
            id = id(json);
            if (id == null) {
                throw e;
            }
            return new Message(
                    id, null, null, new JsonRpcException(JsonRpcException.PARSE, e.getMessage()));
        } catch (JsonRpcException e) {
            if (id == null) {
                throw new BadInputException(e.getMessage());
            }
            return new Message(id, null, null, e);
        }
    }

    private static Long id(Json json) {
        return json.members().get("id") instanceof Long id && id >= 0 ? id : null;
    }

    @SuppressWarnings("unchecked")
    private static Message message(Long id, Map<String, Object> members) {
        if (!"2.0".equals(members.get("jsonrpc"))) {
            throw new JsonRpcException(JsonRpcException.REQUEST, "not JSON-RPC 2.0");
        }
        if (id == null && members.containsKey("id")) {
            throw new JsonRpcException(JsonRpcException.REQUEST, "wrong id");
        }
        if (!(members.get("method") instanceof String method)) {
            throw new JsonRpcException(JsonRpcException.REQUEST, "missing or wrong: method");
        }
        Object params = members.getOrDefault("params", Map.of());
        if (!(params instanceof Map)) {
            throw new JsonRpcException(JsonRpcException.PARAMS, "params is no object");
        }
        return new Message(id, method, (Map<String, Object>) params, null);
    }

    private static StringBuilder open(long id, String part) {
        return new StringBuilder(128)
                .append("{\"jsonrpc\":\"2.0\",\"id\":")
                .append(id)
                .append(",\"")
                .append(part)
                .append("\":{");
    }

    /** The free value goes along where one was set. */
    private static StringBuilder hint(StringBuilder out, Double hint, String before) {
        return hint == null ? out : out.append(before).append("\"hint\":").append(hint);
    }

    static String result(long id, byte[] result, Double hint) {
        StringBuilder out =
                open(id, "result")
                        .append("\"data\":\"")
                        .append(Base64.getEncoder().encodeToString(result))
                        .append('"');
        return hint(out, hint, ",").append("}}\n").toString();
    }

    static String health(long id, boolean good, Double hint) {
        StringBuilder out = open(id, "result").append("\"green\":").append(good);
        return hint(out, hint, ",").append("}}\n").toString();
    }

    static String done(long id) {
        return open(id, "result").append("}}\n").toString();
    }

    static String throttled(long id, Duration retryIn, boolean last, Double hint) {
        StringBuilder out = error(id, THROTTLED, "throttled").append(",\"data\":{");
        String before = "";
        if (!retryIn.isZero()) {
            out.append("\"backoff\":").append(Math.max(1, retryIn.toMillis()));
            before = ",";
        }
        if (last) {
            out.append(before).append("\"final\":1");
            before = ",";
        }
        return hint(out, hint, before).append("}}}\n").toString();
    }

    static String failed(long id, String message, Double hint) {
        StringBuilder out = error(id, FAILED, message);
        if (hint != null) {
            hint(out.append(",\"data\":{"), hint, "").append('}');
        }
        return out.append("}}\n").toString();
    }

    static String fault(long id, JsonRpcException fault) {
        return error(id, fault.code, fault.getMessage()).append("}}\n").toString();
    }

    /** Messages are the project's own words and need no escapes. */
    private static StringBuilder error(long id, int code, String message) {
        return open(id, "error")
                .append("\"code\":")
                .append(code)
                .append(",\"message\":\"")
                .append(message)
                .append('"');
    }
}
