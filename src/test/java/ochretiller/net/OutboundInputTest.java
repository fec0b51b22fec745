package ochretiller.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import ochretiller.ManualEventLoop;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how much input of the server's own connections waits for the event loop. */
class OutboundInputTest {
    private static final long MEMORY_BYTES = 64L * 1024 * 1024;

    /** The part of the memory that this input may take, parsed to some ten times its bytes. */
    private static final long MAX_WAITING_BYTES = MEMORY_BYTES / 24 / 10;

    private static final int READ_BYTES = 8 * 1024;
    private static final int READS = 500;

    private final ManualEventLoop loop = new ManualEventLoop();
    private final Network network = new Network(loop, MEMORY_BYTES);
    private final AtomicInteger decodedBytes = new AtomicInteger();

    /** Completes a message with each read. */
    private final class CountingHandler implements ConnectionHandler {
        @Override
        public Runnable decode(byte[] bytes, int from, int to) {
            decodedBytes.addAndGet(to - from);
            return () -> {};
        }

        @Override
        public void onInputEnded() {}

        @Override
        public void onClosed(CloseCode code) {}
    }

    @AfterEach
    void stop() {
        network.stop();
    }

    // Guards against memory that grows with the messages of a peer that sends faster than the event
    // loop processes them.
    @Test
    @Timeout(30)
    void parsedInputThatWaitsIsHeldToAShareOfTheMemory() throws Exception {
        OutboundSessionHandler handler = new OutboundSessionHandler(network, loop);
        DummySession session = new DummySession();
        OutboundSessionHandler.initialize(session, "link", connection -> new CountingHandler());
        handler.sessionCreated(session);
        Thread reader = new Thread(() -> receive(handler, session));
        reader.start();
        while (reader.getState() != Thread.State.WAITING) {
            Thread.onSpinWait();
        }
        assertThat(decodedBytes.get()).isLessThanOrEqualTo((int) MAX_WAITING_BYTES + READ_BYTES);
        while (reader.isAlive()) {
            loop.runPosted();
        }
        assertThat(decodedBytes.get()).isEqualTo(READS * READ_BYTES);
    }

    private static void receive(OutboundSessionHandler handler, DummySession session) {
        for (int i = 0; i < READS; i++) {
            handler.messageReceived(session, IoBuffer.wrap(new byte[READ_BYTES]));
        }
    }
}
