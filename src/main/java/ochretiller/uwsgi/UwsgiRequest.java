package ochretiller.uwsgi;

import java.util.Map;

/**
 * One request as a front end sent it.
 *
 * @param vars by name; bytes are kept one char each
 * @param ping it is a ping (modifier 100): it has neither variables nor body, and is answered in
 *     kind
 */
public record UwsgiRequest(Map<String, String> vars, byte[] body, boolean ping) {
    /** The bytes that ask a worker for this. */
    public byte[][] encode() {
        return new byte[][] {UwsgiVariables.write(vars), body};
    }
}
