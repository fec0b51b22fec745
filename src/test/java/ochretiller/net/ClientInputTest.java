package ochretiller.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ochretiller.ManualEventLoop;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests in which order the input of clients is processed, and what of it is held in memory. */
class ClientInputTest {
    private static final int SLICE_BYTES = 256;
    private static final int TURN_BYTES = 4 * SLICE_BYTES;
    private static final int HELD_BYTES = 8 * SLICE_BYTES;

    private final ManualEventLoop loop = new ManualEventLoop();
    private final Network network = new Network(loop, 64L * 1024 * 1024);
    private final HeldInput heldInput = new HeldInput(HELD_BYTES);
    private final List<String> processed = new ArrayList<>();
    private final Set<String> closed = new TreeSet<>();

    /** A client; each slice that ends in a line feed is a message, and others are held. */
    private final class Client implements ConnectionHandler {
        private final String name;
        private final DummySession session = new DummySession();
        private final Connection connection = new Connection(session, network, true, loop.now());
        private final ClientInput input =
                new ClientInput(
                        session,
                        connection,
                        this,
                        new AcceptedSessionHandler(network, loop, "test", unused -> this),
                        heldInput);
        private long held;
        private int failures;

        Client(String name) {
            this.name = name;
        }

        void send(int length, char last) {
            byte[] bytes = new byte[length];
            bytes[length - 1] = (byte) last;
            for (int i = SLICE_BYTES - 1; last == '\n' && i < length; i += SLICE_BYTES) {
                bytes[i] = '\n';
            }
            input.add(bytes);
        }

        @Override
        public Runnable decode(byte[] bytes, int from, int to) {
            if (bytes[to - 1] != '\n') {
                held += to - from;
                return null;
            }
            held = 0;
            return this::process;
        }

        private void process() {
            if (failures > 0) {
                failures--;
                throw new IllegalStateException("this message fails");
            }
            processed.add(name);
        }

        @Override
        public boolean hasPartialMessage() {
            return held > 0;
        }

        @Override
        public long heldInputBytes() {
            return held;
        }

        @Override
        public void discardInput() {
            held = 0;
        }

        @Override
        public boolean onProtocolViolation(CloseCode code) {
            closed.add(name + ' ' + code);
            return true;
        }

        @Override
        public void onInputEnded() {
            processed.add("end of " + name);
        }

        @Override
        public void onClosed(CloseCode code) {}
    }

    @AfterEach
    void stop() {
        network.stop();
    }

    // Guards against clients that wait for the answers of others: one that sends without a pause
    // gets one turn, then all others get theirs.
    @Test
    void clientsTakeTurns() throws Exception {
        Client fast = new Client("fast");
        Client usual = new Client("usual");
        fast.send(3 * TURN_BYTES, '\n');
        usual.send(100, '\n');
        loop.runNext();
        assertThat(processed).hasSize(4).containsOnly("fast");
        loop.runNext();
        assertThat(processed).hasSize(5).endsWith("usual");
        loop.runPosted();
        assertThat(processed).hasSize(13);
    }

    // Guards against a connection that is never read again, or a loop that spins, because the
    // processing of one message failed.
    @Test
    void turnsGoOnAfterAMessageThatFails() throws Exception {
        Client client = new Client("client");
        client.failures = 1;
        client.send(SLICE_BYTES, '\n');
        assertThatThrownBy(loop::runPosted).isInstanceOf(IllegalStateException.class);
        loop.runPosted();
        client.send(SLICE_BYTES, '\n');
        loop.runPosted();
        client.failures = 1;
        client.send(2 * SLICE_BYTES, '\n');
        assertThatThrownBy(loop::runPosted).isInstanceOf(IllegalStateException.class);
        loop.runPosted();
        assertThat(processed).containsExactly("client", "client");
        assertThat(client.connection.isInputProcessed()).isTrue();
    }

    // Guards against memory that grows with the input of clients that send faster than is served.
    @Test
    void readingIsSuspendedWhileReadsWait() throws Exception {
        Client client = new Client("client");
        client.send(10, '\n');
        assertThat(client.session.isReadSuspended()).isFalse();
        client.send(10, '\n');
        assertThat(client.session.isReadSuspended()).isTrue();
        loop.runNext();
        assertThat(client.session.isReadSuspended()).isFalse();
        loop.runPosted();
        assertThat(client.connection.isInputProcessed()).isTrue();
        client.input.end();
        assertThat(client.session.isReadSuspended()).as("the end was read").isTrue();
        loop.runPosted();
        assertThat(processed).containsExactly("client", "client", "end of client");
    }

    // Guards against requests of a client that are processed after it has left.
    @Test
    void inputOfAClosedConnectionIsDiscarded() {
        Client client = new Client("client");
        client.send(2 * SLICE_BYTES, '\n');
        client.send(SLICE_BYTES, '\n');
        client.connection.drop(CloseCode.BROKEN);
        loop.runPosted();
        assertThat(processed).isEmpty();
        assertThat(client.connection.isInputProcessed()).isTrue();
    }

    // Guards against a process that needs more memory than it has since many clients stop half way
    // through their requests; of clients that hold too much, the one that has done so longest goes.
    @Test
    void longestHolderOverItsShareIsClosedWhenMemoryIsFull() {
        Client small = new Client("small");
        small.send(100, '.');
        loop.runPosted();
        for (int i = 1; i <= 4; i++) {
            new Client("slow " + i).send(2 * SLICE_BYTES, '.');
            loop.runPosted();
        }
        assertThat(closed).containsExactly("slow 1 FLOOD");
        new Client("slow 5").send(2 * SLICE_BYTES, '.');
        loop.runPosted();
        assertThat(closed).containsExactly("slow 1 FLOOD", "slow 2 FLOOD");
        Client usual = new Client("usual");
        usual.send(SLICE_BYTES, '\n');
        loop.runPosted();
        assertThat(processed).containsExactly("usual");
    }

    // Guards against a usual client that is closed for the memory that many slow ones hold, each of
    // them a little less than an equal share.
    @Test
    void usualClientStaysBesideSlowOnesBelowTheirShare() {
        for (int i = 1; i <= 5; i++) {
            new Client("slow " + i).send(340, '.');
        }
        loop.runPosted();
        Client usual = new Client("usual");
        usual.send(2 * SLICE_BYTES, '.');
        loop.runPosted();
        usual.send(SLICE_BYTES, '\n');
        loop.runPosted();
        assertThat(closed).containsExactly("slow 1 FLOOD");
        assertThat(processed).containsExactly("usual");
    }

    // Guards against a flood that takes its turns for ever, and against a close for one burst.
    @Test
    void clientThatSendsTooFastForLongIsClosedAndABurstIsNot() throws Exception {
        Client client = new Client("client");
        client.send(4 * TURN_BYTES, '\n');
        for (int i = 0; i < 60; i++) {
            client.send(4 * TURN_BYTES, '\n');
            while (client.session.isReadSuspended()) {
                loop.runNext();
            }
        }
        assertThat(closed).isEmpty();
        loop.advanceTimers(Duration.ofSeconds(1));
        client.send(4 * TURN_BYTES, '\n');
        loop.runPosted();
        assertThat(closed).containsExactly("client FLOOD");
    }
}
