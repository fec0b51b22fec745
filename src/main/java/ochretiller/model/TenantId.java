package ochretiller.model;

/**
 * Identifies the tenant that an invocation is billed to.
 *
 * @param value the identifier
 */
public record TenantId(String value) {
    // Not generated: a record's generated equals and hashCode are linked at run time, which slows
    // startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof TenantId id && id.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
