package ochretiller.node;

/**
 * Receives the result of writing an in-flight marker; exactly one of the methods is called, once.
 * Event loop thread.
 */
interface MarkerListener {
    /** The marker is durable: the run may start. */
    void onMarkerDurable();

    /** The marker did not become durable in time: the run must not start. */
    void onMarkerFailed();
}
