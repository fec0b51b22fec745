package ochretiller.model;

/**
 * Identifies one invocation by the number assigned when it was received.
 *
 * @param value the identifier
 */
public record InvocationId(long value) {
    // Not generated: a record's generated equals and hashCode are linked at run time, which slows
    // startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof InvocationId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
