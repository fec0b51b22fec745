package ochretiller.fleet.membership;

import java.util.Locale;

/**
 * What a server thinks of a member (SWIM, section 4.2, with states of their own for those that join
 * and that leave). At one state version a later constant overrides an earlier one; {@link
 * UpdateMerger} has the rule.
 */
public enum MemberState {
    /** Alive, without a view of its own yet. */
    JOINING("JOINING"),
    /** Alive and part of the fleet. */
    ALIVE("HERE"),
    /** It did not answer somebody, and has some time to refute that. */
    SUSPECT("SUSPECT"),
    /** It answers nobody: its process is dead or paused, or it is cut off. */
    UNRESPONSIVE("SILENT"),
    /** It has announced that it leaves; final for its incarnation. */
    LEFT("LEFT");

    private final String externalName;

    MemberState(String externalName) {
        this.externalName = externalName;
    }

    /** The word for it in JSON and log lines, whatever the constant is called. */
    public String externalName() {
        return externalName;
    }

    /** The same in lower case, as in names of metrics. */
    public String lowerCaseName() {
        return externalName.toLowerCase(Locale.ROOT);
    }

    /** Whether it is probed and counted as one that is there; a suspect is. */
    public boolean isLive() {
        return this == JOINING || this == ALIVE || this == SUSPECT;
    }
}
