package ochretiller.jsonrpc;

/** A request that is answered with one of the errors that JSON-RPC 2.0 defines, section 5.1. */
final class JsonRpcException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Parse error. */
    static final int PARSE = -32700;

    /** Invalid request. */
    static final int REQUEST = -32600;

    /** Method not found. */
    static final int METHOD = -32601;

    /** Invalid params. */
    static final int PARAMS = -32602;

    /** The error code of the answer. */
    final int code;

    /** Made without a stack trace: peers can cause these at will, and the trace costs most. */
    JsonRpcException(int code, String message) {
        super(message, null, false, false);
        this.code = code;
    }
}
