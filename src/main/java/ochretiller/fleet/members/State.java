package ochretiller.fleet.members;

/** What is thought of a member. At one number, a later one here goes over an earlier one. */
public enum State {
    /** Alive, and still without a view of its own. */
    JOINING,
    /** Alive and in. */
    HERE,
    /** It did not answer somebody; it has some time to say that it is there. */
    SUSPECT,
    /** It answers nobody: dead, paused, or cut off. */
    SILENT,
    /** It has said that it leaves. Final for this start. */
    LEFT;

    /** Whether it is asked as one that is there. */
    public boolean live() {
        return this == JOINING || this == HERE || this == SUSPECT;
    }
}
