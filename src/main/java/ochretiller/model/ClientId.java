package ochretiller.model;

/**
 * Identifies the client that sent an invocation.
 *
 * @param value the identifier
 */
public record ClientId(long value) {
    // Not generated: a record's generated equals and hashCode are linked at run time, which slows
    // startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof ClientId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
