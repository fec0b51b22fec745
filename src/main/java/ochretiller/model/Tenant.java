package ochretiller.model;

/**
 * One of those who share the service.
 *
 * @param id its identity
 * @param serviceShare its part of the service, relative to the other tenants
 * @param quotaPerSecond invocations a second that are within its share, over the whole fleet
 */
public record Tenant(TenantId id, double serviceShare, double quotaPerSecond) {}
