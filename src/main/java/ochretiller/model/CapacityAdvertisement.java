package ochretiller.model;

/** What callers make of the free value that goes out with each answer. */
public enum CapacityAdvertisement {
    /** It is not used. */
    NONE,
    /** They send nothing of lower rank. */
    PRIORITY_THRESHOLD,
    /** Each has at most so many invocations out here. */
    CLIENT_WINDOW,
    /** The chance that one does not pass this server over. */
    ROUTING_PROBABILITY
}
