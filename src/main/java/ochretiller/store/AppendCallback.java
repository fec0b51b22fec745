package ochretiller.store;

/**
 * Receives the outcome of one append. It is run exactly once, on the executor that {@link
 * Store#open} was given, never on the caller's stack unless that executor runs tasks there.
 */
@FunctionalInterface
public interface AppendCallback {
    /** The append is over, with this outcome. */
    void completed(AppendResult result);
}
