package ochretiller.model;

/**
 * One who shares the service.
 *
 * @param id who
 * @param serviceShare its part of the service
 * @param quotaPerSecond invocations a second inside its share, over the whole fleet
 */
public record Tenant(TenantId id, double serviceShare, double quotaPerSecond) {}
