package ochretiller.fleet.transport;

import java.io.ByteArrayOutputStream;
import java.security.SecureRandom;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.text.BadInputException;

/**
 * Streams to the fleet's port: the operators' commands ask, each with the challenge of its
 * connection.
 */
public final class AdminEndpoint {
    /**
     * Commands at once. More are for nobody's hands, and a flood must not take the descriptors of
     * callers.
     */
    private static final int MAX_CONNECTIONS = 8;

    /** Words on one connection: a command that watches asks once a second, and dials again. */
    private static final int MAX_REQUESTS_PER_CONNECTION = 100;

    private final PacketCodec codec;
    private final String name;
    private final Map<String, CommandHandler> words;
    private final SecureRandom chance = new SecureRandom();
    private final AtomicInteger open = new AtomicInteger();

    /** What is answered to a word and what came with it, made on the one thread. */
    @FunctionalInterface
    public interface CommandHandler {
        String text(String with);
    }

    public AdminEndpoint(PacketCodec codec, String name, Map<String, CommandHandler> words) {
        this.codec = codec;
        this.name = name;
        this.words = words;
    }

    public ConnectionHandler accepted(Connection connection) {
        return new AdminConnection(connection, open.incrementAndGet() > MAX_CONNECTIONS);
    }

    private final class AdminConnection implements ConnectionHandler {
        private final Connection connection;
        private final String challenge =
                Long.toHexString(chance.nextLong()) + Long.toHexString(chance.nextLong());
        private final ByteArrayOutputStream read = new ByteArrayOutputStream();
        private final boolean surplus;
        private int said;
        private boolean greeted;

        AdminConnection(Connection connection, boolean surplus) {
            this.connection = connection;
            this.surplus = surplus;
        }

        @Override
        public Runnable received(byte[] bytes, int from, int to) throws BadInputException {
            if (surplus) {
                connection.drop(CloseCode.TOO_MANY);
                return null;
            }
            read.write(bytes, from, to - from);
            byte[] all = read.toByteArray();
            if (!greeted) {
                // The first byte asks for the challenge: who dials and says nothing costs nothing
                // more.
                if (all.length == 0 || all[0] != '?') {
                    throw new BadInputException("no question at the fleet's door");
                }
                greeted = true;
                read.reset();
                read.write(all, 1, all.length - 1);
                return () ->
                        connection.write(
                                SealedFrame.seal(
                                        codec.keys(),
                                        new SealedFrame.AdminMessage(
                                                codec.fleetName(), challenge, "hello", name)));
            }
            int length = SealedFrame.length(all, all.length);
            if (length < 0 || length > SealedFrame.MAX_REQUEST_BYTES) {
                throw new BadInputException("a frame at the fleet's door is too long");
            }
            if (length == 0 || all.length < length) {
                return null;
            }
            if (all.length > length || ++said > MAX_REQUESTS_PER_CONNECTION) {
                throw new BadInputException("too much at the fleet's door");
            }
            read.reset();
            SealedFrame.AdminMessage word;
            try {
                word = SealedFrame.open(codec.keys(), all);
            } catch (RejectedPacketException e) {
                throw new BadInputException(
                        "a frame at the fleet's door is refused: " + e.reason().externalName());
            }
            CommandHandler answer = words.get(word.word());
            if (!word.fleet().equals(codec.fleetName())
                    || !word.challenge().equals(challenge)
                    || answer == null) {
                throw new BadInputException(
                        "a word at the fleet's door is for another fleet or connection, or"
                                + " unknown");
            }
            return () ->
                    connection.write(
                            SealedFrame.seal(
                                    codec.keys(),
                                    new SealedFrame.AdminMessage(
                                            codec.fleetName(),
                                            challenge,
                                            word.word(),
                                            answer.text(word.text()))));
        }

        @Override
        public void inputEnded() {
            connection.close(CloseCode.PEER_CLOSED);
        }

        @Override
        public void ended(CloseCode code) {
            open.decrementAndGet();
        }
    }
}
