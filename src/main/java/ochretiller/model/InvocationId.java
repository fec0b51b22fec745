package ochretiller.model;

/**
 * Identifies one invocation, by the number under which it was received.
 *
 * @param value the identifier itself
 */
public record InvocationId(long value) {
    // Written out since a record's generated equals and hashCode are linked at run time, which
    // slows the server's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof InvocationId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
