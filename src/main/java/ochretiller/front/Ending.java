package ochretiller.front;

/** How a try was answered. */
public enum Ending {
    SUCCEEDED,
    REPLAYED,
    THROTTLED,
    ERRORED
}
