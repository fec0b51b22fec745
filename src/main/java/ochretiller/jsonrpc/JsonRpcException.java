package ochretiller.jsonrpc;

/** A message that has a readable id and is answered by one of JSON-RPC's own errors. */
final class JsonRpcException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    static final int PARSE = -32700;
    static final int REQUEST = -32600;
    static final int METHOD = -32601;
    static final int PARAMS = -32602;

    final int code;

    JsonRpcException(int code, String message) {
        super(message, null, false, false); // thrown at a peer's will: no trace, which costs most
        this.code = code;
    }
}
