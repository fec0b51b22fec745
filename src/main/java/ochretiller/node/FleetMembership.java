package ochretiller.node;

/**
 * Port to the fleet that this server may be a member of, as far as the life of the server is
 * concerned.
 */
interface FleetMembership {
    /** Joins the fleet. Any thread. */
    void start();

    /** Reads the keys of the fleet again. Any thread. */
    void reload();

    /**
     * Tells the others that this server leaves; it still answers them until it is closed. Event
     * loop thread.
     */
    void leave();

    /** Closes the sockets and files of the fleet. Event loop thread. */
    void close();
}
