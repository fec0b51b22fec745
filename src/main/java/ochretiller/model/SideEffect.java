package ochretiller.model;

/** What running an operation twice would do. */
public enum SideEffect {
    /** May run again. */
    IDEMPOTENT,
    /** Carries a mark by which a repeat is known, and runs once within its window. */
    KEYED,
    /** Must never run twice, and a repeat is not known. */
    NON_IDEMPOTENT
}
