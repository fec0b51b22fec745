package ochretiller.uwsgi;

import java.util.Map;

/**
 * One request.
 *
 * @param vars the variables by name; each char is one byte
 * @param body the request body
 * @param ping whether it is a ping (modifier 100), which has neither variables nor a body
 */
public record UwsgiRequest(Map<String, String> vars, byte[] body, boolean ping) {
    /** The bytes to send to a worker: the block of variables, then the body. */
    public byte[][] encode() {
        return new byte[][] {UwsgiVariables.write(vars), body};
    }
}
