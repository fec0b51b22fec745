package ochretiller.store;

/**
 * Receives the result of one append. It is called exactly once, on the executor that was passed to
 * {@link Store#open}, and on the caller's stack only if that executor runs tasks there.
 */
@FunctionalInterface
public interface AppendCallback {
    /** Called when the append has ended with this result. */
    void onCompleted(AppendResult result);
}
