package ochretiller.model;

/** An invocation, by the number it was read under. */
public record InvocationId(long value) {
    // A record's own equals and hashCode are linked at run time, which costs a start dear, and each
    // look-up too.
    @Override
    public boolean equals(Object other) {
        return other instanceof InvocationId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
