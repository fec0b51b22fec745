package ochretiller.model;

/** The caller that sent an invocation. */
public record ClientId(long value) {
    // A record's own equals and hashCode are linked at run time, which costs a start dear, and each
    // look-up too.
    @Override
    public boolean equals(Object other) {
        return other instanceof ClientId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
