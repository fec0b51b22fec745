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
    private static final int MOST = 8;

    /** Words on one connection: a command that watches asks once a second, and dials again. */
    private static final int WORDS = 100;

    private final PacketCodec codec;
    private final String name;
    private final Map<String, Answer> words;
    private final SecureRandom chance = new SecureRandom();
    private final AtomicInteger open = new AtomicInteger();

    /** What is answered to a word and what came with it, made on the one thread. */
    @FunctionalInterface
    public interface Answer {
        String text(String with);
    }

    public AdminEndpoint(PacketCodec codec, String name, Map<String, Answer> words) {
        this.codec = codec;
        this.name = name;
        this.words = words;
    }

    public ConnectionHandler accepted(Connection connection) {
        return new Visit(connection, open.incrementAndGet() > MOST);
    }

    private final class Visit implements ConnectionHandler {
        private final Connection connection;
        private final String challenge =
                Long.toHexString(chance.nextLong()) + Long.toHexString(chance.nextLong());
        private final ByteArrayOutputStream read = new ByteArrayOutputStream();
        private final boolean surplus;
        private int said;
        private boolean greeted;

        Visit(Connection connection, boolean surplus) {
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
                                SealedFrame.frame(
                                        codec.keys(),
                                        new SealedFrame.Said(
                                                codec.fleet(), challenge, "hello", name)));
            }
            int length = SealedFrame.length(all, all.length);
            if (length < 0 || length > SealedFrame.LONGEST_WORD) {
                throw new BadInputException("a frame at the fleet's door is too long");
            }
            if (length == 0 || all.length < length) {
                return null;
            }
            if (all.length > length || ++said > WORDS) {
                throw new BadInputException("too much at the fleet's door");
            }
            read.reset();
            SealedFrame.Said word;
            try {
                word = SealedFrame.open(codec.keys(), all);
            } catch (RejectedPacketException e) {
                throw new BadInputException(
                        "a frame at the fleet's door is refused: " + e.why().externalName());
            }
            Answer answer = words.get(word.word());
            if (!word.fleet().equals(codec.fleet())
                    || !word.challenge().equals(challenge)
                    || answer == null) {
                throw new BadInputException(
                        "a word at the fleet's door is for another fleet or connection, or"
                                + " unknown");
            }
            return () ->
                    connection.write(
                            SealedFrame.frame(
                                    codec.keys(),
                                    new SealedFrame.Said(
                                            codec.fleet(),
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
