package ochretiller.admission;

import ochretiller.server.ServerActions;

/**
 * Cancels runs whose results nobody waits for. Only idempotent ones are cancelled: a keyed run goes
 * on, since its retry can be answered from it, and the effect of any other is not to be cut short.
 */
final class RunCancellation {
    private final boolean isSupported;

    /**
     * Creates the rule.
     *
     * @param isSupported whether the host can cancel a run at all
     */
    RunCancellation(boolean isSupported) {
        this.isSupported = isSupported;
    }

    boolean allows(TrackedInvocation tracked) {
        return isSupported && tracked.operation().isIdempotent();
    }

    /** Cancels a run if that is allowed. */
    void cancel(ServerActions server, TrackedInvocation tracked) {
        if (allows(tracked)) {
            server.stopRun(tracked.id());
        }
    }
}
