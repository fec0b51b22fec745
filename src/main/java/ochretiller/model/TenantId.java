package ochretiller.model;

/**
 * Identifies the tenant that an invocation is billed to.
 *
 * @param value the identifier itself
 */
public record TenantId(String value) {
    // Written out since a record's generated equals and hashCode are linked at run time, which
    // slows the server's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof TenantId id && id.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
