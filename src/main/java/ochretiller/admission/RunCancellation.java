package ochretiller.admission;

import ochretiller.server.ServerActions;

/**
 * Cancels runs whose results are no longer needed. Only idempotent runs are cancelled: a keyed run
 * continues, since its result can answer retries, and the effect of any other run must not be
 * interrupted.
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
