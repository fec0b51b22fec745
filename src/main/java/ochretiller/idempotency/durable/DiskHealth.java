package ochretiller.idempotency.durable;

/** How the store's disk is doing, as {@link DurabilityPolicy} sees it. */
public enum DiskHealth {
    /** Appends are acknowledged in time. */
    HEALTHY("well"),
    /** The oldest append has waited for longer than {@link DurabilityTimeouts#stallThreshold}. */
    STALLED("stalled"),
    /** The disk has failed, and nothing is written until a probe succeeds. */
    UNAVAILABLE("sick");

    private final String externalName;

    DiskHealth(String externalName) {
        this.externalName = externalName;
    }

    /** The word by which log lines name it; it stays whatever the constant is called. */
    public String externalName() {
        return externalName;
    }
}
