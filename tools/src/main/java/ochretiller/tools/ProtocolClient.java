package ochretiller.tools;

import java.io.IOException;

/** One protocol that requests are sent by. */
interface ProtocolClient extends AutoCloseable {
    /** Sends it; its outcome follows. Returns at once. */
    void send(MeasuredRequest ask) throws IOException;

    /** Answers that belong to no open request: each breaks the rule of one answer. */
    long surplus();

    @Override
    void close() throws IOException;
}
