package ochretiller.tools;

import java.io.IOException;

/** A client of the measured server for one protocol. */
interface ProtocolClient extends AutoCloseable {
    /** Sends a request without waiting for its end, which {@code request.outcome} reports. */
    void send(MeasuredRequest request) throws IOException;

    /** Returns how many answers had no open request; each violates the rule of one answer. */
    long unexpectedAnswers();

    @Override
    void close() throws IOException;
}
