package ochretiller.fleet.peers;

/** Why a packet was not taken; each has a figure of its own. */
public enum Refused {
    /** Shorter than an envelope, longer than is read, or not as long as it says. */
    LENGTH,
    /** It does not begin as an envelope does. */
    NOT_OURS,
    /** Only newer programs can read it. */
    NEWER,
    /** Its seal is not made with a key of this fleet. */
    FORGED,
    /** It names another fleet. */
    OTHER_FLEET,
    /** Its seal is good and its content is not. */
    MALFORMED,
    /** It was taken before, or is too far behind what was. */
    REPLAYED,
    /** Its kind is not known here: a newer program's. */
    KIND,
    /** Its sender sends more than one peer may. */
    OVER_BUDGET,
    /** The one thread has too much to work off. */
    BEHIND
}
