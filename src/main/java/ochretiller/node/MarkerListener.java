package ochretiller.node;

/**
 * Receives the result of writing an in-flight marker; one of the two methods is called, once. Event
 * loop thread.
 */
interface MarkerListener {
    /** The marker is durable: the run may start. */
    void onMarkerDurable();

    /** The marker is not durable and is not waited for any longer: the run must not start. */
    void onMarkerFailed();
}
