package ochretiller.jsonrpc;

/** Reports a request that is answered with an error of JSON-RPC 2.0, section 5.1. */
final class JsonRpcException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Parse error. */
    static final int PARSE_ERROR = -32700;

    /** Invalid request. */
    static final int INVALID_REQUEST = -32600;

    /** Method not found. */
    static final int METHOD_NOT_FOUND = -32601;

    /** Invalid params. */
    static final int INVALID_PARAMS = -32602;

    /** The error code in the response. */
    final int code;

    /** Has no stack trace: peers can trigger this at will, and the trace is the main cost. */
    JsonRpcException(int code, String message) {
        super(message, null, false, false);
        this.code = code;
    }
}
