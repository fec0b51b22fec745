package ochretiller.model;

/** What callers make of the free value that goes out with each answer. */
public enum Advert {
    /** It is not used. */
    NONE,
    /** They send nothing of lower rank. */
    LEVEL,
    /** Each has at most so many invocations out here. */
    WINDOW,
    /** The chance that one does not pass this server over. */
    SHARE
}
