package ochretiller.model;

/** The tenant an invocation is billed to. */
public record TenantId(String value) {
}
