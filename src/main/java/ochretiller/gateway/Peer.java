package ochretiller.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.Receiver;
import ochretiller.text.Frames;

/** One connection of a gateway and the requests that are open on it. */
final class Peer implements Receiver {
    private static final int LONGEST_LINE = 8 * 1024;

    final Connection connection;
    final Duration madeAt;
    /** It has sent a request or a health check that was good. */
    boolean shown;
    /** Open over the limit: it is told so and closed. */
    boolean surplus;
    final Map<Long, Try> open = new LinkedHashMap<>();
    /** Health checks at work. */
    int checks;
    boolean inputEnded;
    /** It sent something wrong before. */
    boolean faulty;
    private final Gateway gateway;
    private final Frames frames = new Frames(LONGEST_LINE, false, line -> Frames.NONE);

    Peer(Connection connection, Duration madeAt, Gateway gateway) {
        this.connection = connection;
        this.madeAt = madeAt;
        this.gateway = gateway;
    }

    @Override
    public Runnable received(byte[] bytes, int from, int to) {
        List<Rpc.Message> messages = new ArrayList<>(1);
        frames.read(bytes, from, to, (line, body) -> messages.add(Rpc.read(line)));
        return messages.isEmpty() ? null : () -> messages.forEach(message -> gateway.read(this, message));
    }

    boolean busy() {
        return !open.isEmpty() || checks > 0;
    }

    @Override
    public void inputEnded() {
        inputEnded = true;
        settle();
    }

    /** Nothing is open on it, and nothing that was read waits: a close loses nothing. */
    boolean quiet() {
        return !busy() && connection.quiet();
    }

    /** Closes it where nothing more is to come and nothing is owed. */
    void settle() {
        if (busy()) return;
        if (inputEnded) connection.close(CloseCode.PEER_CLOSED);
        else if (surplus) connection.close(CloseCode.TOO_MANY);
    }

    @Override
    public void ended(CloseCode code) {
        gateway.ended(this);
    }
}
