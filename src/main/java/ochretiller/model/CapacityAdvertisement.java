package ochretiller.model;

/** What clients do with the capacity figure that a server sends with each answer. */
public enum CapacityAdvertisement {
    /** They ignore it. */
    NONE,
    /** They send no request whose priority is below the figure. */
    PRIORITY_THRESHOLD,
    /** Each of them has at most so many requests outstanding at this server. */
    CLIENT_WINDOW,
    /** They choose this server with that probability when it is its turn. */
    ROUTING_PROBABILITY
}
