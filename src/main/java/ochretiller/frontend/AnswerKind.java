package ochretiller.frontend;

/** How a try was answered. */
public enum AnswerKind {
    SUCCEEDED,
    REPLAYED,
    THROTTLED,
    ERRORED
}
