package ochretiller.model;

/**
 * One who shares the service.
 *
 * @param id who
 * @param share its part of the service
 * @param quota invocations a second inside its share, over the whole fleet
 */
public record Tenant(TenantId id, double share, double quota) {}
