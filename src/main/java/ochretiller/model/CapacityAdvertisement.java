package ochretiller.model;

/** How clients interpret the capacity value that a server sends with each answer. */
public enum CapacityAdvertisement {
    /** Clients ignore it. */
    NONE,
    /** Clients send no request whose priority is below the value. */
    PRIORITY_THRESHOLD,
    /** Each client has at most this many requests outstanding at the server. */
    CLIENT_WINDOW,
    /** Clients choose the server with this probability when it is its turn. */
    ROUTING_PROBABILITY
}
