package ochretiller.fleet.transport;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The formats of all messages, by kind number and by type. Immutable. */
final class MessageFormats {
    /** All messages that this program knows. */
    static final MessageFormats ALL =
            new MessageFormats(
                    List.of(
                            MembershipCodec.FORMATS,
                            ConsensusCodec.FORMATS,
                            ReplicationCodec.FORMATS,
                            AntiEntropyCodec.FORMATS,
                            RolloutCodec.FORMATS));

    private final Map<Long, MessageFormat<?>> byKind = new HashMap<>();
    private final Map<Class<?>, MessageFormat<?>> byType = new HashMap<>();

    private MessageFormats(List<List<MessageFormat<?>>> families) {
        families.stream().flatMap(Collection::stream).forEach(this::add);
    }

    private void add(MessageFormat<?> format) {
        boolean isNewKind = byKind.put((long) format.kind(), format) == null;
        boolean isNewType = byType.put(format.type(), format) == null;
        if (!isNewKind || !isNewType) {
            throw new IllegalStateException("kind " + format.kind() + " is defined twice");
        }
    }

    /** Returns the format of a kind, or nothing for one of a newer program. */
    Optional<MessageFormat<?>> ofKind(long kind) {
        return Optional.ofNullable(byKind.get(kind));
    }

    /**
     * Returns the format of a message.
     *
     * @throws IllegalArgumentException if it is none that can be sent
     */
    MessageFormat<?> ofMessage(Object message) {
        MessageFormat<?> format = byType.get(message.getClass());
        if (format == null) {
            throw new IllegalArgumentException("no message: " + message.getClass().getName());
        }
        return format;
    }
}
