package ochretiller.model;

/**
 * One of the tenants that share the service.
 *
 * @param id identifier of the tenant
 * @param serviceShare its weight in sharing the service, relative to the other tenants
 * @param quotaPerSecond invocations per second within its quota, over the whole fleet
 */
public record Tenant(TenantId id, double serviceShare, double quotaPerSecond) {}
