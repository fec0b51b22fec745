package ochretiller.idempotency.durable;

/** Health of the store's disk as determined by {@link DurabilityPolicy}. */
public enum DiskHealth {
    /** Appends are acknowledged in time. */
    HEALTHY("well"),
    /** The oldest pending append is older than {@link DurabilityTimeouts#stallThreshold}. */
    STALLED("stalled"),
    /** The disk has failed, and nothing is written until a probe succeeds. */
    UNAVAILABLE("sick");

    private final String externalName;

    DiskHealth(String externalName) {
        this.externalName = externalName;
    }

    /** Name used in log lines; it must not change if the constant is renamed. */
    public String externalName() {
        return externalName;
    }
}
