package ochretiller.fleet.membership;

import java.util.Locale;

/** What is thought of a member. At one number, a later one here goes over an earlier one. */
public enum MemberState {
    /** Alive, and still without a view of its own. */
    JOINING("JOINING"),
    /** Alive and in. */
    ALIVE("HERE"),
    /** It did not answer somebody; it has some time to say that it is there. */
    SUSPECT("SUSPECT"),
    /** It answers nobody: dead, paused, or cut off. */
    UNRESPONSIVE("SILENT"),
    /** It has said that it leaves. Final for this start. */
    LEFT("LEFT");

    private final String externalName;

    MemberState(String externalName) {
        this.externalName = externalName;
    }

    /**
     * The word by which metrics, JSON and log lines name it; it stays whatever the constant is
     * called.
     */
    public String externalName() {
        return externalName;
    }

    /** The same in lower case, as names of metrics and members of JSON have it. */
    public String lowerCaseName() {
        return externalName.toLowerCase(Locale.ROOT);
    }

    /** Whether it is asked as one that is there. */
    public boolean isLive() {
        return this == JOINING || this == ALIVE || this == SUSPECT;
    }
}
