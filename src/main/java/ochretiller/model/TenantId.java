package ochretiller.model;

/** The tenant an invocation is billed to. */
public record TenantId(String value) {
    // A record's own equals and hashCode are linked at run time, which costs a start dear, and each
    // look-up too.
    @Override
    public boolean equals(Object other) {
        return other instanceof TenantId id && id.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
