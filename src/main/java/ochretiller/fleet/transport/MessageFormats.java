package ochretiller.fleet.transport;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The formats of all messages, by kind number and by type. Immutable. */
final class MessageFormats {
    /** Formats of all messages that this version supports. */
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
            throw new IllegalStateException(
                    "message kind " + format.kind() + " or its type has two formats");
        }
    }

    /** Returns the format of a kind; empty if this version does not support the kind. */
    Optional<MessageFormat<?>> forKind(long kind) {
        return Optional.ofNullable(byKind.get(kind));
    }

    /**
     * Returns the format of a message.
     *
     * @throws IllegalArgumentException if its class has no format
     */
    MessageFormat<?> forMessage(Object message) {
        MessageFormat<?> format = byType.get(message.getClass());
        if (format == null) {
            throw new IllegalArgumentException(
                    "no message format for " + message.getClass().getName());
        }
        return format;
    }
}
