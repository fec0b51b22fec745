package ochretiller.node;

/** Lifecycle of this server's membership in a fleet. */
interface FleetMembership {
    /** Joins the fleet. Any thread. */
    void start();

    /** Reads the fleet's key file again. Any thread. */
    void reload();

    /**
     * Announces to the other members that this server leaves. It answers them until {@link #close}.
     * Event loop thread.
     */
    void leave();

    /** Closes the fleet's sockets and files without a message to the members. Event loop thread. */
    void close();
}
