package ochretiller.idempotency.durable;

/**
 * How repeats of an invocation that was found in the store at a restart are answered. They are
 * never run.
 */
public enum RecoveryDecision {
    /** Answer repeats with the stored result. */
    REPLAY,
    /** Let repeats wait, as the processor may still know the run and report its outcome. */
    AWAIT_OUTCOME,
    /**
     * Answer repeats with an error: the run may have taken effect, and its result is unavailable.
     */
    REJECT;

    /**
     * Decides by the stored record and the start time of the processor.
     *
     * @param processorStartedAtMillis start time of the processor's process, on the store's clock
     */
    public static RecoveryDecision of(IdempotencyRecord record, long processorStartedAtMillis) {
        return switch (record.progress()) {
            case SUCCEEDED -> REPLAY;
            case ENDED_WITHOUT_RESULT -> REJECT;
            // A processor that started after the marker was written does not know the run; an older
            // one may report its outcome.
            case IN_FLIGHT ->
                    processorStartedAtMillis > record.markedAtMillis() ? REJECT : AWAIT_OUTCOME;
        };
    }
}
