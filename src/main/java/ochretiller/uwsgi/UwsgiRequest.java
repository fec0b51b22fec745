package ochretiller.uwsgi;

import java.util.Map;

/**
 * A uwsgi request.
 *
 * @param vars the variables by name; each char of a name or value is one byte (ISO 8859-1)
 * @param body the request body
 * @param isPing whether this is a ping (modifier 100), which has neither variables nor a body
 */
public record UwsgiRequest(Map<String, String> vars, byte[] body, boolean isPing) {
    /** Returns the memory that the request takes, in bytes. */
    long heldBytes() {
        return UwsgiVariables.heldBytes(vars) + body.length;
    }

    /** Returns what is written to a worker, in order: the block of variables, then the body. */
    public byte[][] encode() {
        return new byte[][] {UwsgiVariables.encode(vars), body};
    }
}
