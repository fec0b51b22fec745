package ochretiller.jsonrpc;

import java.util.Map;
import java.util.OptionalLong;

/** A message of a gateway as it was parsed. */
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
     * A message of which only the id could be read.
     *
     * @param id the request's id
     * @param error what is wrong with the rest
     */
    record Invalid(long id, JsonRpcException error) implements JsonRpcMessage {}
}
