package ochretiller.idempotency.durable;

/**
 * What becomes of the repeats of an invocation that a restart has found in the store. None of them
 * is ever run.
 */
public enum RecoveryDecision {
    /** They are answered with the stored result. */
    REPLAY,
    /** They wait: the processor may still know the run and tell how it ended. */
    AWAIT_OUTCOME,
    /** They get an error: the run may have had its effect, and its result is not to be had. */
    REJECT;

    /**
     * Decides by the stored record and the age of the processor.
     *
     * @param processorStartedAtMillis when the processor's process began, on the store's clock
     */
    public static RecoveryDecision of(IdempotencyRecord record, long processorStartedAtMillis) {
        return switch (record.progress()) {
            case SUCCEEDED -> REPLAY;
            case ENDED_WITHOUT_RESULT -> REJECT;
            // A processor that started after the mark knows nothing of the run; one that was there
            // may tell of its end.
            case IN_FLIGHT ->
                    processorStartedAtMillis > record.markedAtMillis() ? REJECT : AWAIT_OUTCOME;
        };
    }
}
