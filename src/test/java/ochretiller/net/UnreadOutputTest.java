package ochretiller.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import ochretiller.ManualEventLoop;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests what becomes of clients that don't read, with sessions whose output the test holds back.
 */
class UnreadOutputTest {
    /** Unread output of all clients may take 1/24 of the memory. */
    private static final int CAPACITY_BYTES = 400 * 1024;

    private static final int UNREAD_BYTES = 150 * 1024;
    private static final int BURST_BYTES = 32 * 1024;
    private static final int MANY_WRITES = 10_000;

    private final ManualEventLoop loop = new ManualEventLoop();
    private final Network network = new Network(loop, 24L * CAPACITY_BYTES);

    /** A connection whose client reads when the test says so. */
    private final class Client {
        private final DummySession session = new DummySession();
        private final Connection connection = new Connection(session, network, true, loop.now());

        /** Answers with {@code bytes}, of which nothing is sent yet. */
        void answer(int bytes) {
            session.increaseScheduledWriteBytes(bytes);
            session.increaseScheduledWriteMessages();
            connection.write(new byte[1]); // sent at once by this kind of session
            network.flush();
        }

        /** Lets the client read {@code bytes} of what it has not read. */
        void read(int bytes) {
            session.increaseScheduledWriteBytes(-bytes);
            session.increaseWrittenBytes(bytes, loop.now().toMillis());
        }
    }

    private Client silent() {
        Client client = new Client();
        client.answer(UNREAD_BYTES);
        return client;
    }

    @AfterEach
    void stop() {
        network.stop();
    }

    // Guards against a usual client that is closed while it takes a burst of answers, because
    // others
    // don't read theirs; of these the one that has read nothing for the longest time goes.
    @Test
    void clientThatReadsStaysBesideSilentOnes() {
        Client usual = new Client();
        usual.answer(BURST_BYTES);
        List<Client> silent = Stream.generate(this::silent).limit(2).toList();
        usual.read(BURST_BYTES);
        usual.answer(BURST_BYTES);
        assertThat(silent).allMatch(client -> client.connection.isOpen());
        Client last = silent();
        assertThat(silent.get(0).connection.closeCode()).contains(CloseCode.NOT_READING);
        assertThat(List.of(silent.get(1), last, usual)).allMatch(it -> it.connection.isOpen());
    }

    // Guards against memory that grows with small answers which are not read: each is a write of
    // its
    // own, whose objects take several times its bytes.
    @Test
    void smallWritesCountAsTheMemoryThatTheyTake() {
        Client silent = new Client();
        int writes = 0;
        while (silent.connection.isOpen() && writes < MANY_WRITES) {
            silent.answer(1);
            writes++;
        }
        assertThat(silent.connection.closeCode()).contains(CloseCode.NOT_READING);
        assertThat(writes).isLessThan(CAPACITY_BYTES / 300);
    }

    // Guards against closes for output that was read long ago.
    @Test
    void outputThatWasReadDoesNotCount() {
        List<Client> clients = Stream.generate(this::silent).limit(2).toList();
        clients.forEach(client -> client.read(UNREAD_BYTES));
        clients.forEach(client -> client.answer(UNREAD_BYTES));
        Client third = new Client();
        third.answer(UNREAD_BYTES / 2);
        assertThat(clients).allMatch(client -> client.connection.isOpen());
        assertThat(third.connection.isOpen()).isTrue();
    }
}
