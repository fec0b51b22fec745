package ochretiller.jsonrpc;

import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import ochretiller.text.BadInputException;
import ochretiller.text.Json;
import ochretiller.text.Slice;

/** Parses messages from gateways and formats those of the server, one per line. Any thread. */
final class JsonRpcCodec {
    /** Error code for an attempt that was rejected before it ran. */
    static final int THROTTLED = -32014;

    /** Error code for an attempt that failed. */
    static final int FAILED = -32000;

    /** Notification that asks a gateway to send no further requests on the connection. */
    static final String SHUTDOWN = "{\"jsonrpc\":\"2.0\",\"method\":\"shutdown\"}\n";

    private static final int TYPICAL_RESPONSE_CHARS = 128;

    private JsonRpcCodec() {}

    /**
     * Parses one line.
     *
     * @throws BadInputException if the id cannot be read, so that no response is possible
     */
    static JsonRpcMessage parse(Slice line) {
        Json json = new Json(line);
        OptionalLong id = OptionalLong.empty();
        try {
            if (!(json.parse() instanceof Map)) {
                throw new BadInputException("no JSON-RPC object");
            }
            id = id(json);
            return parseCall(id, json.members());
        } catch (BadInputException e) {
            id = id(json);
            if (id.isEmpty()) {
                throw e;
            }
            return new JsonRpcMessage.Invalid(
                    id.getAsLong(),
                    new JsonRpcException(JsonRpcException.PARSE_ERROR, e.getMessage()));
        } catch (JsonRpcException e) {
            if (id.isEmpty()) {
                throw new BadInputException(e.getMessage());
            }
            return new JsonRpcMessage.Invalid(id.getAsLong(), e);
        }
    }

    private static OptionalLong id(Json json) {
        return json.members().get("id") instanceof Long id && id >= 0
                ? OptionalLong.of(id)
                : OptionalLong.empty();
    }

    @SuppressWarnings("unchecked") // the parser creates only maps with string keys
    private static JsonRpcMessage parseCall(OptionalLong id, Map<String, Object> members) {
        if (!"2.0".equals(members.get("jsonrpc"))) {
            throw new JsonRpcException(JsonRpcException.INVALID_REQUEST, "not JSON-RPC 2.0");
        }
        if (id.isEmpty() && members.containsKey("id")) {
            throw new JsonRpcException(JsonRpcException.INVALID_REQUEST, "wrong id");
        }
        if (!(members.get("method") instanceof String method)) {
            throw new JsonRpcException(
                    JsonRpcException.INVALID_REQUEST, "missing or wrong: method");
        }
        Object params = members.getOrDefault("params", Map.of());
        if (!(params instanceof Map)) {
            throw new JsonRpcException(JsonRpcException.INVALID_PARAMS, "params is no object");
        }
        return new JsonRpcMessage.Call(id, method, (Map<String, Object>) params);
    }

    private static StringBuilder startResponse(long id, String member) {
        return new StringBuilder(TYPICAL_RESPONSE_CHARS)
                .append("{\"jsonrpc\":\"2.0\",\"id\":")
                .append(id)
                .append(",\"")
                .append(member)
                .append("\":{");
    }

    /** Appends a separator and the advertised capacity, if present. */
    private static StringBuilder appendCapacity(
            StringBuilder out, OptionalDouble capacity, String separator) {
        if (capacity.isPresent()) {
            out.append(separator).append("\"hint\":").append(capacity.getAsDouble());
        }
        return out;
    }

    /** Formats the response with a result. */
    static String result(long id, byte[] result, OptionalDouble capacity) {
        StringBuilder out =
                startResponse(id, "result")
                        .append("\"data\":\"")
                        .append(Base64.getEncoder().encodeToString(result))
                        .append('"');
        return appendCapacity(out, capacity, ",").append("}}\n").toString();
    }

    /** Formats the response to a health check. */
    static String health(long id, boolean healthy, OptionalDouble capacity) {
        StringBuilder out = startResponse(id, "result").append("\"green\":").append(healthy);
        return appendCapacity(out, capacity, ",").append("}}\n").toString();
    }

    /** Formats the response to a request that has no result. */
    static String emptyResult(long id) {
        return startResponse(id, "result").append("}}\n").toString();
    }

    /**
     * Formats the response to an attempt that was rejected before it ran.
     *
     * @param retryAfter the delay before a retry, sent as at least 1 ms; zero to omit it
     * @param isFinal whether a retry is of no use
     */
    static String throttledResponse(
            long id, Duration retryAfter, boolean isFinal, OptionalDouble capacity) {
        StringBuilder out = startError(id, THROTTLED, "throttled").append(",\"data\":{");
        String separator = "";
        if (!retryAfter.isZero()) {
            out.append("\"backoff\":").append(Math.max(1, retryAfter.toMillis()));
            separator = ",";
        }
        if (isFinal) {
            out.append(separator).append("\"final\":1");
            separator = ",";
        }
        return appendCapacity(out, capacity, separator).append("}}}\n").toString();
    }

    /** Formats the response to an attempt that failed. */
    static String failureResponse(long id, String message, OptionalDouble capacity) {
        StringBuilder out = startError(id, FAILED, message);
        if (capacity.isPresent()) {
            appendCapacity(out.append(",\"data\":{"), capacity, "").append('}');
        }
        return out.append("}}\n").toString();
    }

    /** Formats the response to a request that violates the protocol. */
    static String protocolError(long id, JsonRpcException violation) {
        return startError(id, violation.code, violation.getMessage()).append("}}\n").toString();
    }

    /** The message is not escaped, so it must be a constant of this server. */
    private static StringBuilder startError(long id, int code, String message) {
        return startResponse(id, "error")
                .append("\"code\":")
                .append(code)
                .append(",\"message\":\"")
                .append(message)
                .append('"');
    }
}
