package ochretiller.fleet.membership;

import java.util.Locale;

/**
 * The state of a member in a server's view (SWIM, section 4.2, with additional states for members
 * that join and leave). At equal state versions a later constant overrides an earlier one; {@link
 * UpdateMerger} implements the rule and its exceptions.
 */
public enum MemberState {
    /** Alive, but without a view of the fleet yet. */
    JOINING("JOINING"),
    /** Alive and part of the fleet. */
    ALIVE("HERE"),
    /** It did not answer a probe and may still refute the suspicion. */
    SUSPECT("SUSPECT"),
    /** Its suspicion has timed out: it has crashed, is paused or is unreachable. */
    UNRESPONSIVE("SILENT"),
    /** It has announced its leave; final for its incarnation. */
    LEFT("LEFT");

    private final String externalName;

    MemberState(String externalName) {
        this.externalName = externalName;
    }

    /** The name of the state in JSON and log lines. */
    public String externalName() {
        return externalName;
    }

    /** The external name in lower case, for names of metrics. */
    public String lowerCaseName() {
        return externalName.toLowerCase(Locale.ROOT);
    }

    /** Whether the member is probed and counted as present; a suspect is. */
    public boolean isLive() {
        return this == JOINING || this == ALIVE || this == SUSPECT;
    }
}
