package ochretiller.jsonrpc;

import java.util.Map;
import java.util.OptionalLong;

/** A parsed message from a gateway. */
sealed interface JsonRpcMessage {
    /**
     * A well-formed message.
     *
     * @param id the request's id; empty for a notification
     * @param method the name of the method
     * @param params the named parameters, not yet validated
     */
    record Call(OptionalLong id, String method, Map<String, Object> params)
            implements JsonRpcMessage {}

    /**
     * A malformed message whose id could be read.
     *
     * @param id the request's id
     * @param error the error to answer with
     */
    record Invalid(long id, JsonRpcException error) implements JsonRpcMessage {}
}
